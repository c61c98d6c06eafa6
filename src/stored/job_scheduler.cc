#include "stored/job_scheduler.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

#include "base/mutex_lock.h"

namespace sapphirecrank::stored {

using base::BatchNumber;
using base::Duration;
using base::HostId;
using base::MutexLock;
using base::RunNumber;
using base::StepIndex;
using base::SubmissionId;
using base::TimePoint;
using std::chrono::milliseconds;

namespace {

constexpr size_t kShardCount = 16;
// A host that can't renew its lease for this long cancels what it has placed. The lease itself
// lasts 0.4 s; writes to a slow disk delay its renewal.
constexpr Duration kLeaseRenewalTimeout = milliseconds(500);
// A batch that has begun no run after this time is placed again, with an allocator that has free
// capacity then.
constexpr Duration kBatchWaitLimit = milliseconds(400);
constexpr Duration kPlacementRetryDelay = milliseconds(50);
// A proposal without a commit after this time is repeated. Commits take some 10 ms, and longer on a
// slow disk; a leader that can't commit loses its lease after this time.
constexpr Duration kProposalRetryDelay = milliseconds(500);
// Bounds the size of a command in the log.
constexpr size_t kMaximumSupersededRuns = 1000;
// Stored jobs have no deadline.
constexpr Duration kNoDeadline = std::chrono::hours(24 * 365);
constexpr Duration kRemovalInterval = std::chrono::seconds(1);
constexpr size_t kMaximumRemovedJobs = 500;
// Distance between the first batch numbers of successive terms, so that the batch numbers of a job,
// and with them its run numbers, increase from one leader's term to the next.
constexpr uint32_t kBatchNumbersPerTerm = 1U << 11U;

RunNumber FirstRunNumberOf(BatchNumber batch) {
  return RunNumber(batch.value() * runs::TaskBatch::kMaximumRunsPerTask + 1);
}

bool IsStepDone(const StoredJob& stored, StepIndex step) {
  const std::vector<StoredTask>& tasks = stored.steps[step.value()];
  return std::all_of(tasks.begin(), tasks.end(),
                     [](const StoredTask& task) { return task.successful_run.has_value(); });
}

bool HasRunEnded(const StoredTask& task, RunNumber run) {
  return task.successful_run == run ||
         std::find(task.failed_runs.begin(), task.failed_runs.end(), run) != task.failed_runs.end();
}

}  // namespace

JobScheduler::JobScheduler(Settings settings, JobStateMachine& stored_jobs, Hooks hooks)
    : settings(std::move(settings)),
      stored_jobs(stored_jobs),
      hooks(std::move(hooks)),
      shards(kShardCount) {}

void JobScheduler::OnLeaseHeld(base::Term current_term) {
  bool is_other_term = false;
  {
    MutexLock lock(this->leadership_mutex);
    is_other_term = this->is_leading && this->term != current_term;
    this->leadership_expires_at = this->hooks.now() + kLeaseRenewalTimeout;
  }
  if (is_other_term) {
    this->StopLeading();
  }
  if (!this->is_leading) {
    this->StartLeading(current_term);
  }
}

void JobScheduler::StartLeading(base::Term current_term) {
  {
    MutexLock lock(this->leadership_mutex);
    this->term = current_term;
    // A leader may lose its lease and regain it in the same term; batch numbers must not be reused.
    this->batch_number_base =
        std::max(this->batch_number_base,
                 BatchNumber(static_cast<uint32_t>(current_term.value()) * kBatchNumbersPerTerm));
    // The election came at least 0.5 s after the former leader's last lease began. That leader
    // stopped leading 0.5 s after it last saw the lease.
    this->placement_starts_at = this->hooks.now() + this->settings.lost_run_delay;
  }
  std::vector<SubmissionId> ids;
  this->stored_jobs.ForEachJob([&ids](const StoredJob& stored) { ids.push_back(stored.job.id); });
  this->is_leading = true;
  // Jobs that are submitted from now on come through `OnJobsChanged`: the lease is held only after
  // all entries of earlier terms have been applied.
  this->UpdateJobs(ids, true);
  this->hooks.on_leadership_change(true);
}

void JobScheduler::StopLeading() {
  if (!this->is_leading.exchange(false)) {
    return;
  }
  std::set<std::pair<HostId, SubmissionId>> placed_jobs;
  BatchNumber last_batch;
  this->shards.ForEachShard([&](Shard& shard) {
    for (const auto& [id, entry] : shard.jobs) {
      last_batch = std::max(last_batch, entry.last_batch);
      for (const auto& [batch, host] : entry.open_batches) {
        placed_jobs.emplace(host, id);
      }
    }
    shard = Shard();
  });
  {
    MutexLock lock(this->leadership_mutex);
    this->batch_number_base = std::max(this->batch_number_base, last_batch);
  }
  for (const auto& [host, id] : placed_jobs) {
    this->hooks.cancel_job(host, id);
  }
  this->hooks.on_leadership_change(false);
}

void JobScheduler::StopLeadingIfLeaseExpired() {
  bool is_expired = false;
  {
    MutexLock lock(this->leadership_mutex);
    is_expired = this->hooks.now() >= this->leadership_expires_at;
  }
  if (is_expired) {
    this->StopLeading();
  }
}

void JobScheduler::UpdateTask(TaskState& task, const StoredTask& stored_task) {
  const auto is_settled = [&stored_task](RunNumber run) {
    return stored_task.successful_run || HasRunEnded(stored_task, run) ||
           run < stored_task.lowest_valid_run;
  };
  if (task.run_awaiting_commit && is_settled(*task.run_awaiting_commit)) {
    task.run_awaiting_commit.reset();
    task.batch = BatchNumber();
  }
  if (task.proposed_lowest_run != RunNumber() &&
      task.proposed_lowest_run <= stored_task.lowest_valid_run) {
    task.proposed_lowest_run = RunNumber();
    task.may_have_runs = false;
  }
}

std::vector<HostId> JobScheduler::UpdateEntry(Shard& shard, const SubmissionId& id,
                                              bool may_have_runs) {
  std::set<HostId> allocators;
  this->stored_jobs.WithJob(id, [&](const StoredJob* stored) {
    if (stored == nullptr) {
      shard.jobs.erase(id);
      shard.jobs_to_place.erase(id);
      return;
    }
    auto [found, is_new] = shard.jobs.try_emplace(id);
    JobEntry& entry = found->second;
    if (is_new) {
      entry.priority = stored->job.priority;
      entry.queue = stored->job.queue;
      entry.arrival_number = this->next_arrival_number++;
      entry.arrived_at = this->hooks.now();
      TaskState new_task;
      new_task.may_have_runs = may_have_runs;
      for (const auto& step : stored->steps) {
        entry.steps.emplace_back(step.size(), new_task);
      }
    }
    {
      MutexLock lock(this->leadership_mutex);
      entry.last_batch = std::max(entry.last_batch, this->batch_number_base);
    }
    for (size_t step = 0; step < entry.steps.size(); ++step) {
      for (size_t i = 0; i < entry.steps[step].size(); ++i) {
        const StoredTask& stored_task = stored->steps[step][i];
        entry.has_begun =
            entry.has_begun || stored_task.successful_run || !stored_task.failed_runs.empty();
        UpdateTask(entry.steps[step][i], stored_task);
      }
    }
    if (stored->phase == StoredJob::Phase::kOpen) {
      shard.jobs_to_place.insert(id);
      return;
    }
    if (entry.ended_at) {
      return;
    }
    shard.jobs_to_place.erase(id);
    entry.ended_at = this->hooks.now();
    for (const auto& [batch, host] : entry.open_batches) {
      allocators.insert(host);
      shard.batches_in_transit.erase({this->settings.self, id, batch});
    }
    entry.open_batches.clear();
  });
  return {allocators.begin(), allocators.end()};
}

void JobScheduler::OnJobsChanged(const std::vector<SubmissionId>& ids) {
  if (this->is_leading) {
    this->UpdateJobs(ids, false);
  }
}

void JobScheduler::UpdateJobs(const std::vector<SubmissionId>& ids, bool may_have_runs) {
  for (const SubmissionId& id : ids) {
    const std::vector<HostId> allocators = this->shards.WithShard(
        id, [&](Shard& shard) { return this->UpdateEntry(shard, id, may_have_runs); });
    for (const HostId& host : allocators) {
      this->hooks.cancel_job(host, id);
    }
  }
  this->PlaceJobs(ids);
}

void JobScheduler::ReleaseBatch(JobEntry& entry, BatchNumber batch, TimePoint earliest_placement,
                                bool may_have_runs) {
  const HostId allocator = entry.open_batches.at(batch);
  entry.open_batches.erase(batch);
  for (std::vector<TaskState>& step : entry.steps) {
    for (TaskState& task : step) {
      if (task.batch == batch && !task.run_awaiting_commit) {
        task.batch = BatchNumber();
        task.earliest_placement = earliest_placement;
        task.may_have_runs = may_have_runs;
        if (may_have_runs) {
          task.refusing_allocators.clear();
        } else {
          task.refusing_allocators.insert(allocator);
        }
      }
    }
  }
}

void JobScheduler::OnBatchEnd(const HostId& allocator, const runs::BatchResult& result) {
  const SubmissionId& id = result.key.job;
  this->shards.WithShard(id, [&](Shard& shard) {
    auto found = shard.jobs.find(id);
    if (found == shard.jobs.end()) {
      return;
    }
    auto open_batch = found->second.open_batches.find(result.key.batch);
    if (open_batch == found->second.open_batches.end() || open_batch->second != allocator) {
      return;
    }
    // Events of the batch's runs may still arrive, unless the batch has begun no run.
    const bool may_have_runs = result.outcome != runs::BatchResult::Outcome::kNotRun;
    const Duration delay = may_have_runs ? this->settings.lost_run_delay : kPlacementRetryDelay;
    ReleaseBatch(found->second, result.key.batch, this->hooks.now() + delay, may_have_runs);
    shard.jobs_to_place.insert(id);
  });
}

void JobScheduler::OnAllocatorLost(const HostId& allocator) {
  this->shards.ForEachShard([&](Shard& shard) {
    for (auto& [id, entry] : shard.jobs) {
      this->WithdrawBatches(shard, id, entry, allocator);
    }
  });
}

void JobScheduler::WithdrawBatches(Shard& shard, const SubmissionId& id, JobEntry& entry,
                                   const HostId& allocator) {
  const TimePoint earliest_placement = this->hooks.now() + this->settings.lost_run_delay;
  std::vector<BatchNumber> withdrawn_batches;
  for (const auto& [batch, host] : entry.open_batches) {
    if (host == allocator) {
      withdrawn_batches.push_back(batch);
    }
  }
  for (const BatchNumber batch : withdrawn_batches) {
    shard.batches_in_transit.erase({this->settings.self, id, batch});
    ReleaseBatch(entry, batch, earliest_placement, true);
    shard.jobs_to_place.insert(id);
  }
}

void JobScheduler::SendBatch(const Placement& placement) {
  const runs::BatchKey& key = placement.batch.key;
  const bool is_sent = this->hooks.place_batch(placement.allocator, placement.batch);
  const bool is_withdrawn = this->shards.WithShard(key.job, [&](Shard& shard) {
    if (shard.batches_in_transit.erase(key) > 0) {
      return false;
    }
    auto found = shard.jobs.find(key.job);
    if (is_sent && found != shard.jobs.end()) {
      // The cancellation is for all batches of the job there.
      this->WithdrawBatches(shard, key.job, found->second, placement.allocator);
    }
    return true;
  });
  if (is_sent && is_withdrawn) {
    this->hooks.cancel_job(placement.allocator, key.job);
  } else if (!is_sent) {
    this->OnBatchEnd(placement.allocator,
                     {key, runs::BatchResult::Outcome::kNotRun, "the allocator is not reachable"});
  }
}

JobScheduler::EventDisposition JobScheduler::ClassifyRunEvent(const runs::RunEvent& event) {
  using Kind = runs::RunEvent::Kind;
  const SubmissionId& id = event.key.task.job;
  return this->shards.WithShard(id, [&](Shard& shard) {
    return this->stored_jobs.WithJob(id, [&](const StoredJob* stored) {
      const size_t step = event.key.task.step.value();
      const size_t index = event.key.task.index.value();
      auto found = shard.jobs.find(id);
      if (stored == nullptr || step >= stored->steps.size() ||
          index >= stored->steps[step].size()) {
        return EventDisposition::kAcknowledge;
      }
      if (found == shard.jobs.end()) {
        return EventDisposition::kIgnore;
      }
      JobEntry& entry = found->second;
      TaskState& task = entry.steps[step][index];
      const StoredTask& stored_task = stored->steps[step][index];
      const bool is_superseded =
          event.key.run < std::max(task.first_run_number, stored_task.lowest_valid_run);
      if (event.kind == Kind::kStarted) {
        entry.has_begun = true;
        return EventDisposition::kAcknowledge;
      }
      if (event.kind == Kind::kReturned) {
        if (!is_superseded && !task.run_awaiting_commit) {
          task.batch = BatchNumber();
          task.earliest_placement =
              this->hooks.now() +
              (event.is_run_gone ? kPlacementRetryDelay : this->settings.lost_run_delay);
          shard.jobs_to_place.insert(id);
        }
        return EventDisposition::kAcknowledge;
      }
      if (stored->job.steps[step].is_long_running) {
        if (!is_superseded) {
          task.batch = BatchNumber();
          task.earliest_placement = this->hooks.now() + kPlacementRetryDelay;
          shard.jobs_to_place.insert(id);
        }
        return EventDisposition::kAcknowledge;
      }
      if (HasRunEnded(stored_task, event.key.run)) {
        return EventDisposition::kAcknowledge;
      }
      if (is_superseded || (stored_task.successful_run && event.kind == Kind::kSucceeded)) {
        return EventDisposition::kSuperseded;
      }
      if (stored_task.successful_run || stored->phase != StoredJob::Phase::kOpen) {
        return EventDisposition::kAcknowledge;
      }
      task.run_awaiting_commit = event.key.run;
      return EventDisposition::kPropose;
    });
  });
}

bool JobScheduler::PlaceStep(JobEntry& entry, const StoredJob& stored, StepIndex step,
                             ReadyWork& work) {
  const TimePoint now = this->hooks.now();
  const gateway::Job& job = stored.job;
  // The ends of long-running tasks aren't recorded.
  const bool records_ends = !job.steps[step.value()].is_long_running;
  std::vector<TaskState>& tasks = entry.steps[step.value()];
  std::vector<size_t> ready_tasks;
  std::vector<size_t> tasks_with_earlier_runs;
  std::set<HostId> refusing_allocators;
  bool has_more = false;
  for (size_t i = 0; i < tasks.size(); ++i) {
    if (stored.steps[step.value()][i].successful_run || tasks[i].batch != BatchNumber() ||
        tasks[i].run_awaiting_commit) {
      continue;
    }
    if (now < tasks[i].earliest_placement) {
      has_more = true;
    } else if (tasks[i].may_have_runs && records_ends) {
      has_more = true;
      if (now >= tasks[i].next_proposal_at) {
        tasks_with_earlier_runs.push_back(i);
      }
    } else {
      ready_tasks.push_back(i);
      refusing_allocators.insert(tasks[i].refusing_allocators.begin(),
                                 tasks[i].refusing_allocators.end());
    }
  }
  const size_t task_count = ready_tasks.size() + tasks_with_earlier_runs.size();
  if (task_count == 0) {
    return has_more;
  }
  // Without an allocator, the ends of earlier runs may still come and count.
  const auto allocator =
      this->hooks.choose_allocator(job.service, base::TaskCount(static_cast<int64_t>(task_count)),
                                   job.steps[step.value()].Requirements(), refusing_allocators);
  if (!allocator) {
    return true;
  }
  if (refusing_allocators.count(*allocator) > 0) {
    // All of them have given tasks back; the next round tries each again.
    for (const size_t i : ready_tasks) {
      tasks[i].refusing_allocators.clear();
    }
  }
  this->SupersedeEarlierRuns(entry, stored, step, tasks_with_earlier_runs, work);
  if (ready_tasks.empty()) {
    return has_more;
  }
  work.placements.push_back(this->MakePlacement(entry, stored, step, ready_tasks, *allocator));
  return has_more;
}

void JobScheduler::SupersedeEarlierRuns(JobEntry& entry, const StoredJob& stored, StepIndex step,
                                        const std::vector<size_t>& task_indices, ReadyWork& work) {
  const TimePoint now = this->hooks.now();
  BatchNumber next_batch;
  for (const size_t i : task_indices) {
    TaskState& task = entry.steps[step.value()][i];
    if (task.proposed_lowest_run == RunNumber()) {
      if (next_batch == BatchNumber()) {
        entry.last_batch = entry.last_batch.Next();
        next_batch = entry.last_batch;
      }
      task.proposed_lowest_run = FirstRunNumberOf(next_batch);
    }
    task.next_proposal_at = now + kProposalRetryDelay;
    work.lowest_valid_runs.push_back(
        {{stored.job.id, base::OccurrenceNumber(), step, base::TaskIndex(static_cast<uint32_t>(i))},
         task.proposed_lowest_run});
  }
}

JobScheduler::Placement JobScheduler::MakePlacement(JobEntry& entry, const StoredJob& stored,
                                                    StepIndex step,
                                                    const std::vector<size_t>& task_indices,
                                                    const HostId& allocator) {
  const gateway::Job& job = stored.job;
  std::vector<TaskState>& tasks = entry.steps[step.value()];
  entry.last_batch = entry.last_batch.Next();
  entry.open_batches[entry.last_batch] = allocator;
  runs::TaskBatch batch;
  batch.key = {this->settings.self, job.id, entry.last_batch};
  batch.service = job.service;
  batch.priority = job.priority;
  batch.payload = job.payload;
  batch.placement_rule = job.steps[step.value()].placement_rule;
  const gateway::JobStep& job_step = job.steps[step.value()];
  batch.expected_run_time = job_step.is_long_running ? Duration(0) : job_step.estimated_run_time;
  batch.wait_limit = kBatchWaitLimit;
  // A batch that is placed again doesn't get behind those of later jobs.
  batch.waited = this->hooks.now() - entry.arrived_at;
  batch.time_left = kNoDeadline;
  batch.is_stored = true;
  batch.first_run_number = FirstRunNumberOf(entry.last_batch);
  for (const size_t i : task_indices) {
    tasks[i].batch = entry.last_batch;
    tasks[i].first_run_number = batch.first_run_number;
    tasks[i].may_have_runs = true;
    tasks[i].next_proposal_at = TimePoint();
    batch.tasks.push_back(
        {{job.id, base::OccurrenceNumber(), step, base::TaskIndex(static_cast<uint32_t>(i))},
         job.steps[step.value()].required_resources});
  }
  return {allocator, std::move(batch)};
}

JobScheduler::ReadyWork JobScheduler::PlaceReadySteps(const SubmissionId& id) {
  ReadyWork work;
  this->shards.WithShard(id, [&](Shard& shard) {
    auto found = shard.jobs.find(id);
    if (found == shard.jobs.end() || found->second.ended_at) {
      shard.jobs_to_place.erase(id);
      return;
    }
    bool has_more = false;
    this->stored_jobs.WithJob(id, [&](const StoredJob* stored) {
      if (stored == nullptr || stored->phase != StoredJob::Phase::kOpen) {
        return;
      }
      for (uint32_t i = 0; i < stored->job.steps.size(); ++i) {
        const std::vector<StepIndex>& dependencies = stored->job.steps[i].dependencies;
        const bool is_ready =
            std::all_of(dependencies.begin(), dependencies.end(),
                        [stored](StepIndex dependency) { return IsStepDone(*stored, dependency); });
        if (is_ready) {
          has_more = this->PlaceStep(found->second, *stored, StepIndex(i), work) || has_more;
        }
      }
    });
    if (!has_more) {
      shard.jobs_to_place.erase(id);
    }
    for (const Placement& placement : work.placements) {
      shard.batches_in_transit.insert(placement.batch.key);
    }
  });
  return work;
}

bool JobScheduler::IsLeading() {
  // After a pause of the process, other threads may run before `Tick` notices that the lease has
  // expired.
  MutexLock lock(this->leadership_mutex);
  return this->is_leading && this->hooks.now() < this->leadership_expires_at;
}

bool JobScheduler::MayPlaceTasks() {
  if (!this->IsLeading()) {
    return false;
  }
  MutexLock lock(this->leadership_mutex);
  return this->hooks.now() >= this->placement_starts_at;
}

void JobScheduler::PlaceJobs(const std::vector<SubmissionId>& ids) {
  JobCommand::SupersedeRuns command;
  for (const SubmissionId& id : ids) {
    if (!this->MayPlaceTasks()) {
      return;
    }
    const ReadyWork work = this->PlaceReadySteps(id);
    for (const Placement& placement : work.placements) {
      this->SendBatch(placement);
    }
    command.lowest_valid_runs.insert(command.lowest_valid_runs.end(),
                                     work.lowest_valid_runs.begin(), work.lowest_valid_runs.end());
    if (command.lowest_valid_runs.size() >= kMaximumSupersededRuns) {
      this->hooks.supersede_runs(std::exchange(command, {}));
    }
  }
  if (!command.lowest_valid_runs.empty()) {
    this->hooks.supersede_runs(command);
  }
}

void JobScheduler::PlaceWaitingJobs() {
  if (!this->MayPlaceTasks()) {
    return;
  }
  std::vector<std::tuple<base::Priority, uint64_t, SubmissionId>> ordered_jobs;
  this->shards.ForEachShard([&ordered_jobs](Shard& shard) {
    for (const SubmissionId& id : shard.jobs_to_place) {
      const JobEntry& entry = shard.jobs.at(id);
      ordered_jobs.emplace_back(entry.priority, entry.arrival_number, id);
    }
  });
  std::sort(ordered_jobs.begin(), ordered_jobs.end());
  std::vector<SubmissionId> ordered_ids;
  ordered_ids.reserve(ordered_jobs.size());
  for (auto& [priority, arrival_number, id] : ordered_jobs) {
    ordered_ids.push_back(std::move(id));
  }
  this->PlaceJobs(ordered_ids);
}

void JobScheduler::RemoveEndedJobs() {
  const TimePoint now = this->hooks.now();
  {
    MutexLock lock(this->leadership_mutex);
    if (!this->is_leading || now < this->next_removal_at) {
      return;
    }
    this->next_removal_at = now + kRemovalInterval;
  }
  std::vector<SubmissionId> expired_ids;
  this->shards.ForEachShard([&](Shard& shard) {
    for (const auto& [id, entry] : shard.jobs) {
      if (entry.ended_at && now - *entry.ended_at >= this->settings.job_retention &&
          expired_ids.size() < kMaximumRemovedJobs) {
        expired_ids.push_back(id);
      }
    }
  });
  if (!expired_ids.empty()) {
    this->hooks.remove_job_records(expired_ids);
  }
}

void JobScheduler::Tick() {
  this->StopLeadingIfLeaseExpired();
  this->PlaceWaitingJobs();
  this->RemoveEndedJobs();
}

JobState JobScheduler::JobStateOf(const SubmissionId& id) {
  return this->shards.WithShard(id, [&](Shard& shard) {
    auto found = shard.jobs.find(id);
    const bool has_begun = found != shard.jobs.end() && found->second.has_begun;
    return this->stored_jobs.WithJob(id, [has_begun](const StoredJob* stored) {
      if (stored == nullptr) {
        return JobState::kUnknown;
      }
      switch (stored->phase) {
        case StoredJob::Phase::kCompleted:
          return JobState::kCompleted;
        case StoredJob::Phase::kFailed:
          return JobState::kFailed;
        case StoredJob::Phase::kCancelled:
          return JobState::kCancelled;
        case StoredJob::Phase::kOpen:
          break;
      }
      return has_begun ? JobState::kRunning : JobState::kQueued;
    });
  });
}

size_t JobScheduler::PendingJobCount(const base::QueueId& queue) {
  size_t pending_count = 0;
  this->shards.ForEachShard([&](Shard& shard) {
    for (const auto& [id, entry] : shard.jobs) {
      if (entry.queue == queue && !entry.ended_at && !entry.has_begun) {
        ++pending_count;
      }
    }
  });
  return pending_count;
}

}  // namespace sapphirecrank::stored
