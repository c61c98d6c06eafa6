#include "gateway/job_dispatcher.h"

#include <algorithm>
#include <utility>

#include "base/mutex_lock.h"
#include "gateway/retry_after_policy.h"
#include "gateway/wait_policy.h"

namespace sapphirecrank::gateway {

using base::BatchNumber;
using base::Duration;
using base::HostId;
using base::StepIndex;
using base::SubmissionId;

namespace {

constexpr size_t kShardCount = 16;
// The backlog is an estimate from reports that are up to 100 ms old. A job is refused on arrival
// only if the estimate exceeds its maximum wait by this factor.
constexpr int kExcessWaitFactor = 2;
constexpr Duration kRetryAfter = std::chrono::seconds(1);
// Bounds the cost of looking at all open batches. Batches of short tasks wait for 60 ms only and an
// allocator reports every 50 ms, so that each report has to be used at once.
constexpr Duration kRecallInterval = std::chrono::milliseconds(5);

JobResult UnfinishedResult(const std::string& reason) {
  return {JobResult::Outcome::kUnfinished, kRetryAfter, reason};
}

base::TaskCount CountOf(const std::set<base::TaskIndex>& tasks) {
  return base::TaskCount(static_cast<int64_t>(tasks.size()));
}

}  // namespace

JobDispatcher::JobDispatcher(HostId self, Hooks hooks)
    : self(std::move(self)),
      hooks(std::move(hooks)),
      shards(kShardCount),
      recall_policy([this] { return this->hooks.random_unit(); }) {}

JobResult JobDispatcher::NotRunResult(const Job& job, const std::string& reason) const {
  const Duration expected_wait = this->hooks
                                     .expected_wait(job.service, job.steps.front().task_count,
                                                    job.steps.front().Requirements(), job.priority)
                                     .value_or(Duration(0));
  return {JobResult::Outcome::kNotRun,
          RetryAfterPolicy::RetryAfter(expected_wait, job.priority, job.id), reason};
}

bool JobDispatcher::IsBacklogTooLong(const Job& job) const {
  const JobStep& step = job.steps.front();
  const auto expected_wait =
      this->hooks.expected_wait(job.service, step.task_count, step.Requirements(), job.priority);
  return expected_wait && *expected_wait > kExcessWaitFactor * WaitPolicy::FirstWait(job, step);
}

bool JobDispatcher::IsStepReady(const JobEntry& entry, StepIndex step) const {
  const std::vector<StepIndex>& dependencies = entry.job.steps[step.value()].dependencies;
  return entry.placed_steps.count(step) == 0 &&
         std::all_of(dependencies.begin(), dependencies.end(),
                     [&entry](StepIndex earlier) { return entry.done_steps.count(earlier) > 0; });
}

std::vector<JobDispatcher::Placement> JobDispatcher::PlaceReadySteps(JobEntry& entry) {
  std::vector<Placement> placements;
  for (uint32_t i = 0; i < entry.job.steps.size(); ++i) {
    const StepIndex step(i);
    if (!this->IsStepReady(entry, step)) {
      continue;
    }
    const JobStep& job_step = entry.job.steps[i];
    OpenBatch open_batch;
    open_batch.step = step;
    for (uint32_t index = 0; index < job_step.task_count.value(); ++index) {
      open_batch.tasks.emplace(index);
    }
    auto placement = this->PlaceBatch(entry, std::move(open_batch),
                                      WaitPolicy::FirstWait(entry.job, job_step), false);
    if (placement) {
      entry.placed_steps.emplace(step, this->hooks.now());
      placements.push_back(std::move(*placement));
    }
  }
  return placements;
}

std::optional<JobDispatcher::Placement> JobDispatcher::PlaceBatch(JobEntry& entry,
                                                                  OpenBatch open_batch,
                                                                  Duration wait_limit,
                                                                  bool needs_free_capacity) {
  const Job& job = entry.job;
  const JobStep& job_step = job.steps[open_batch.step.value()];
  AllocatorRequest request{
      job.service,        CountOf(open_batch.tasks), job_step.Requirements(),
      open_batch.avoided, needs_free_capacity,       this->hooks.random_unit()};
  const auto choice = this->hooks.choose_allocator(request);
  if (!choice) {
    return std::nullopt;
  }
  const base::TimePoint now = this->hooks.now();
  const BatchNumber number(++this->last_batch);
  runs::TaskBatch batch;
  batch.key = {this->self, job.id, number};
  batch.service = job.service;
  batch.priority = job.priority;
  batch.maximum_attempts = job.maximum_attempts;
  batch.payload = job.payload;
  batch.placement_rule = job_step.placement_rule;
  batch.expected_run_time = job_step.estimated_run_time;
  for (const base::TaskIndex index : open_batch.tasks) {
    batch.tasks.push_back(
        {{job.id, base::OccurrenceNumber(), open_batch.step, index}, job_step.required_resources});
  }
  batch.time_left = job.time_left - (now - entry.arrived_at);
  batch.wait_limit = std::min(batch.time_left, wait_limit);
  batch.can_be_returned = true;
  batch.first_run_number = open_batch.first_run_number;
  open_batch.allocator = choice->allocator;
  open_batch.had_free_capacity = choice->has_free_capacity;
  open_batch.placed_at = now;
  open_batch.may_wait_until = now + batch.wait_limit;
  entry.open_batches.emplace(number, std::move(open_batch));
  return Placement{*choice, std::move(request), std::move(batch)};
}

WaitPolicy::Progress JobDispatcher::ProgressOf(const JobEntry& entry,
                                               const OpenBatch& batch) const {
  const base::TimePoint now = this->hooks.now();
  return {now - entry.placed_steps.at(batch.step), entry.job.time_left - (now - entry.arrived_at),
          entry.may_have_run || !entry.open_batches.empty(), batch.placement_count};
}

OpenBatch JobDispatcher::NextBatchOf(const OpenBatch& previous, base::TimePoint avoided_since) {
  OpenBatch next;
  next.step = previous.step;
  next.tasks = previous.tasks;
  next.first_run_number = previous.first_run_number;
  next.placement_count = previous.placement_count + 1;
  next.recall_count = previous.recall_count;
  next.avoided = previous.avoided;
  next.avoided[previous.allocator] = avoided_since;
  return next;
}

std::optional<JobDispatcher::Placement> JobDispatcher::PlaceReturnedTasks(
    JobEntry& entry, const OpenBatch& previous, std::set<base::TaskIndex> tasks,
    base::RunNumber first_run_number) {
  const auto wait_limit = WaitPolicy::WaitAfterReturn(
      entry.job, entry.job.steps[previous.step.value()], this->ProgressOf(entry, previous));
  if (!wait_limit) {
    return std::nullopt;
  }
  // An allocator that returns tasks unasked can't run them, until it reports otherwise. One that
  // was asked still can if all others have been lost meanwhile.
  OpenBatch next =
      NextBatchOf(previous, previous.recalled_at ? base::TimePoint::min() : this->hooks.now());
  next.tasks = std::move(tasks);
  next.first_run_number = first_run_number;
  return this->PlaceBatch(entry, std::move(next), *wait_limit, false);
}

std::optional<JobDispatcher::Placement> JobDispatcher::PlaceRefusedBatch(
    JobEntry& entry, const OpenBatch& previous) {
  const auto wait_limit = WaitPolicy::WaitAfterRefusal(
      entry.job, entry.job.steps[previous.step.value()], this->ProgressOf(entry, previous));
  if (!wait_limit) {
    return std::nullopt;
  }
  return this->PlaceBatch(entry, NextBatchOf(previous, this->hooks.now()), *wait_limit, true);
}

void JobDispatcher::Submit(Job job, uint64_t caller, ResultCallback callback) {
  const SubmissionId id = job.id;
  JobActions actions;
  this->shards.WithShard(id, [&](Shard& shard) {
    auto [found, is_new] = shard.try_emplace(id);
    JobEntry& entry = found->second;
    entry.result_callbacks.emplace(caller, std::move(callback));
    if (!is_new) {
      return;
    }
    entry.job = std::move(job);
    entry.arrived_at = this->hooks.now();
    if (this->is_refusing_new_jobs) {
      actions.ended_jobs.push_back(
          this->EndJob(shard, found, this->NotRunResult(entry.job, "the gateway is stopping")));
      return;
    }
    if (this->IsBacklogTooLong(entry.job)) {
      actions.ended_jobs.push_back(this->EndJob(
          shard, found,
          this->NotRunResult(entry.job, "the backlog is longer than the job may wait")));
      return;
    }
    actions.placements = this->PlaceReadySteps(entry);
    if (actions.placements.empty()) {
      actions.ended_jobs.push_back(this->EndJob(
          shard, found, this->NotRunResult(entry.job, "no allocator has targets of the service")));
    }
  });
  this->Execute(std::move(actions));
}

void JobDispatcher::Execute(JobActions actions) {
  for (const BatchMove& move : actions.moves) {
    this->hooks.on_batch_move(move);
  }
  this->SendPlacements(std::move(actions.placements));
  this->NotifyJobEnds(actions.ended_jobs);
}

bool JobDispatcher::AssignBatch(const runs::BatchKey& key, const AllocatorChoice& choice) {
  return this->shards.WithShard(key.job, [&](Shard& shard) {
    auto found = shard.find(key.job);
    if (found == shard.end()) {
      return false;
    }
    auto batch = found->second.open_batches.find(key.batch);
    if (batch == found->second.open_batches.end()) {
      return false;
    }
    batch->second.allocator = choice.allocator;
    batch->second.had_free_capacity = choice.has_free_capacity;
    return true;
  });
}

void JobDispatcher::SendPlacements(std::vector<Placement> placements) {
  for (Placement& placement : placements) {
    const runs::TaskBatch& batch = placement.batch;
    while (this->AssignBatch(batch.key, placement.choice) &&
           !this->hooks.place_batch(placement.choice.allocator, batch)) {
      const HostId unreachable = placement.choice.allocator;
      this->hooks.on_allocator_unreachable(unreachable);
      const auto other = this->hooks.choose_allocator(placement.request);
      if (!other || other->allocator == unreachable) {
        this->OnBatchEnd(unreachable, {batch.key, runs::BatchResult::Outcome::kNotRun,
                                       "no allocator is reachable"});
        break;
      }
      placement.choice = *other;
    }
  }
}

JobDispatcher::EndedJob JobDispatcher::EndJob(Shard& shard, Shard::iterator job_iterator,
                                              JobResult result) const {
  JobEntry& entry = job_iterator->second;
  EndedJob ended_job;
  ended_job.age_at_end = this->hooks.now() - entry.arrived_at;
  ended_job.result = std::move(result);
  ended_job.job = std::move(entry.job);
  for (auto& [caller, callback] : entry.result_callbacks) {
    ended_job.result_callbacks.push_back(std::move(callback));
  }
  std::set<HostId> allocators;
  for (const auto& [batch, placement] : entry.open_batches) {
    allocators.insert(placement.allocator);
  }
  ended_job.allocators_to_cancel_at.assign(allocators.begin(), allocators.end());
  shard.erase(job_iterator);
  return ended_job;
}

void JobDispatcher::NotifyJobEnds(const std::vector<EndedJob>& ended_jobs) {
  for (const EndedJob& ended_job : ended_jobs) {
    for (const HostId& allocator : ended_job.allocators_to_cancel_at) {
      this->hooks.cancel_job(allocator, ended_job.job.id);
    }
    for (const ResultCallback& callback : ended_job.result_callbacks) {
      callback(ended_job.result);
    }
    this->hooks.on_job_end(ended_job.job, ended_job.result, ended_job.age_at_end);
  }
}

void JobDispatcher::RemoveCaller(const SubmissionId& id, uint64_t caller) {
  std::vector<EndedJob> ended_jobs;
  this->shards.WithShard(id, [&](Shard& shard) {
    auto found = shard.find(id);
    if (found == shard.end() || found->second.result_callbacks.erase(caller) == 0 ||
        !found->second.result_callbacks.empty()) {
      return;
    }
    ended_jobs.push_back(this->EndJob(shard, found, UnfinishedResult("the caller has left")));
  });
  this->NotifyJobEnds(ended_jobs);
}

bool JobDispatcher::Cancel(const SubmissionId& id) {
  std::vector<EndedJob> ended_jobs;
  this->shards.WithShard(id, [&](Shard& shard) {
    auto found = shard.find(id);
    if (found != shard.end()) {
      ended_jobs.push_back(this->EndJob(shard, found, UnfinishedResult("cancelled by a caller")));
    }
  });
  this->NotifyJobEnds(ended_jobs);
  return !ended_jobs.empty();
}

JobDispatcher::EndedJob JobDispatcher::EndUnplacedJob(Shard& shard, Shard::iterator job_iterator,
                                                      const std::string& reason) const {
  const JobEntry& entry = job_iterator->second;
  return this->EndJob(shard, job_iterator,
                      entry.may_have_run || !entry.open_batches.empty()
                          ? UnfinishedResult(reason)
                          : this->NotRunResult(entry.job, reason));
}

void JobDispatcher::OnStepBatchDone(Shard& shard, Shard::iterator job_iterator, StepIndex step,
                                    const std::string& reason, JobActions& actions) {
  JobEntry& entry = job_iterator->second;
  // Another batch has the tasks of the step that were returned.
  if (std::any_of(entry.open_batches.begin(), entry.open_batches.end(),
                  [step](const auto& other) { return other.second.step == step; })) {
    return;
  }
  entry.done_steps.insert(step);
  if (entry.done_steps.size() == entry.job.steps.size()) {
    actions.ended_jobs.push_back(
        this->EndJob(shard, job_iterator, {JobResult::Outcome::kCompleted, {}, reason}));
    return;
  }
  actions.placements = this->PlaceReadySteps(entry);
  if (actions.placements.empty() && entry.open_batches.empty()) {
    actions.ended_jobs.push_back(
        this->EndJob(shard, job_iterator, UnfinishedResult("no allocator for a later step")));
  }
}

void JobDispatcher::OnBatchEnd(const HostId& allocator, const runs::BatchResult& batch_result) {
  JobActions actions;
  const SubmissionId& id = batch_result.key.job;
  this->shards.WithShard(id, [&](Shard& shard) {
    auto found = shard.find(id);
    if (found == shard.end()) {
      return;
    }
    JobEntry& entry = found->second;
    auto batch = entry.open_batches.find(batch_result.key.batch);
    if (batch == entry.open_batches.end() || batch->second.allocator != allocator) {
      return;
    }
    const OpenBatch ended_batch = std::move(batch->second);
    entry.open_batches.erase(batch);
    entry.may_have_run =
        entry.may_have_run || batch_result.outcome != runs::BatchResult::Outcome::kNotRun;
    switch (batch_result.outcome) {
      case runs::BatchResult::Outcome::kCompleted:
        this->OnStepBatchDone(shard, found, ended_batch.step, batch_result.reason, actions);
        return;
      case runs::BatchResult::Outcome::kFailed:
        actions.ended_jobs.push_back(
            this->EndJob(shard, found, {JobResult::Outcome::kFailed, {}, batch_result.reason}));
        return;
      case runs::BatchResult::Outcome::kNotRun:
        if (auto placement = this->PlaceRefusedBatch(entry, ended_batch)) {
          actions.moves.push_back({id, allocator, placement->choice.allocator,
                                   CountOf(ended_batch.tasks), BatchMove::Cause::kNotRun,
                                   batch_result.reason});
          actions.placements.push_back(std::move(*placement));
          return;
        }
        actions.ended_jobs.push_back(this->EndUnplacedJob(shard, found, batch_result.reason));
        return;
      case runs::BatchResult::Outcome::kUnfinished:
        actions.ended_jobs.push_back(
            this->EndJob(shard, found, UnfinishedResult(batch_result.reason)));
        return;
    }
  });
  this->Execute(std::move(actions));
}

void JobDispatcher::OnTasksReturned(const HostId& allocator, const runs::ReturnedTasks& returned) {
  JobActions actions;
  const SubmissionId& id = returned.key.job;
  this->shards.WithShard(id, [&](Shard& shard) {
    auto found = shard.find(id);
    if (found == shard.end()) {
      return;
    }
    JobEntry& entry = found->second;
    auto batch = entry.open_batches.find(returned.key.batch);
    if (batch == entry.open_batches.end() || batch->second.allocator != allocator) {
      return;
    }
    std::set<base::TaskIndex> returned_tasks;
    base::RunNumber first_run_number = batch->second.first_run_number;
    for (const runs::ReturnedTasks::Task& task : returned.tasks) {
      if (task.key.job == id && task.key.step == batch->second.step &&
          batch->second.tasks.erase(task.key.index) > 0) {
        returned_tasks.insert(task.key.index);
        first_run_number = std::max(first_run_number, task.next_run);
      }
    }
    const OpenBatch previous = batch->second;
    batch->second.recalled_at.reset();
    entry.may_have_run = entry.may_have_run || returned.may_have_run;
    if (returned.is_batch_ended) {
      entry.open_batches.erase(batch);
      // The tasks that were not returned are done.
      entry.may_have_run = entry.may_have_run || !previous.tasks.empty();
    }
    if (!returned_tasks.empty()) {
      const base::TaskCount count = CountOf(returned_tasks);
      auto placement =
          this->PlaceReturnedTasks(entry, previous, std::move(returned_tasks), first_run_number);
      if (!placement) {
        actions.ended_jobs.push_back(this->EndUnplacedJob(
            shard, found, "no allocator can take the returned tasks: " + returned.reason));
        return;
      }
      actions.moves.push_back(
          {id, allocator, placement->choice.allocator, count,
           previous.recalled_at ? BatchMove::Cause::kRecalled : BatchMove::Cause::kReturned,
           returned.reason});
      actions.placements.push_back(std::move(*placement));
    } else if (returned.is_batch_ended) {
      this->OnStepBatchDone(shard, found, previous.step, returned.reason, actions);
    }
  });
  this->Execute(std::move(actions));
}

std::vector<RecallCandidate> JobDispatcher::RecallCandidates() {
  std::vector<RecallCandidate> candidates;
  this->shards.ForEachShard([&candidates](Shard& shard) {
    for (const auto& [id, entry] : shard) {
      for (const auto& [number, batch] : entry.open_batches) {
        candidates.push_back({id, number, batch.allocator, entry.job.service, entry.job.priority,
                              CountOf(batch.tasks), batch.placed_at, batch.may_wait_until,
                              batch.had_free_capacity, batch.placement_count, batch.recall_count,
                              batch.recalled_at});
      }
    }
  });
  return candidates;
}

bool JobDispatcher::MarkRecalled(const RecallCandidate& recall, base::TimePoint now) {
  return this->shards.WithShard(recall.job, [&](Shard& shard) {
    auto found = shard.find(recall.job);
    if (found == shard.end()) {
      return false;
    }
    auto batch = found->second.open_batches.find(recall.batch);
    if (batch == found->second.open_batches.end() || batch->second.allocator != recall.allocator) {
      return false;
    }
    batch->second.recalled_at = now;
    ++batch->second.recall_count;
    return true;
  });
}

void JobDispatcher::RecallWaitingBatches() {
  const base::TimePoint now = this->hooks.now();
  std::vector<RecallCandidate> recalls;
  {
    base::MutexLock lock(this->recall_mutex);
    if (now - this->last_recall_at < kRecallInterval) {
      return;
    }
    const std::vector<AllocatorCapacity> capacities = this->hooks.allocator_capacities();
    if (!RecallPolicy::HasUnevenLoad(capacities)) {
      return;
    }
    this->last_recall_at = now;
    recalls = this->recall_policy.ChooseRecalls(this->RecallCandidates(), capacities, now);
  }
  for (const RecallCandidate& recall : recalls) {
    if (this->MarkRecalled(recall, now)) {
      this->hooks.recall_batch(recall.allocator, {recall.job, recall.batch});
    }
  }
}

void JobDispatcher::EndJobsIf(const std::function<bool(const JobEntry&)>& is_due,
                              const std::string& reason) {
  std::vector<EndedJob> ended_jobs;
  this->shards.ForEachShard([&](Shard& shard) {
    for (auto found = shard.begin(); found != shard.end();) {
      auto next = std::next(found);
      if (is_due(found->second)) {
        ended_jobs.push_back(this->EndJob(shard, found, UnfinishedResult(reason)));
      }
      found = next;
    }
  });
  this->NotifyJobEnds(ended_jobs);
}

void JobDispatcher::EndAllJobs(const std::string& reason) {
  this->EndJobsIf([](const JobEntry& /*entry*/) { return true; }, reason);
}

void JobDispatcher::OnAllocatorLost(const HostId& allocator) {
  this->EndJobsIf(
      [&allocator](const JobEntry& entry) {
        return std::any_of(
            entry.open_batches.begin(), entry.open_batches.end(),
            [&allocator](const auto& batch) { return batch.second.allocator == allocator; });
      },
      "the allocator was lost");
}

void JobDispatcher::Tick() {
  const base::TimePoint now = this->hooks.now();
  this->EndJobsIf(
      [now](const JobEntry& entry) { return now - entry.arrived_at >= entry.job.time_left; },
      "the deadline has passed");
}

size_t JobDispatcher::JobCount() {
  size_t count = 0;
  this->shards.ForEachShard([&count](Shard& shard) { count += shard.size(); });
  return count;
}

}  // namespace sapphirecrank::gateway
