#include "gateway/job_dispatcher.h"

#include <algorithm>
#include <utility>

#include "gateway/retry_after_policy.h"

namespace sapphirecrank::gateway {

using base::BatchNumber;
using base::Duration;
using base::HostId;
using base::StepIndex;
using base::SubmissionId;

namespace {

constexpr size_t kShardCount = 16;
// A job may wait for a limited time in addition to its run time. It is refused after this share of
// that time, so that the caller can still submit it elsewhere.
constexpr double kMaximumWaitShare = 0.75;
// The backlog is an estimate from reports that are up to 100 ms old. A job is refused on arrival
// only if the estimate exceeds its maximum wait by this factor.
constexpr int kExcessWaitFactor = 2;
constexpr Duration kRetryAfter = std::chrono::seconds(1);

JobResult UnfinishedResult(const std::string& reason) {
  return {JobResult::Outcome::kUnfinished, kRetryAfter, reason};
}

/// Returns how long the tasks of a step may wait for capacity.
Duration MaximumWait(const Job& job, const JobStep& step) {
  const Duration allowed_wait =
      job.latency_objective +
      std::chrono::duration_cast<Duration>(step.estimated_run_time *
                                           std::max(0.0, job.maximum_slowdown - 1));
  return std::chrono::duration_cast<Duration>(allowed_wait * kMaximumWaitShare);
}

}  // namespace

JobDispatcher::JobDispatcher(HostId self, Hooks hooks)
    : self(std::move(self)), hooks(std::move(hooks)), shards(kShardCount) {}

JobResult JobDispatcher::NotRunResult(const Job& job, const std::string& reason) const {
  const Duration expected_wait =
      this->hooks.expected_wait(job.service, job.steps.front().task_count, job.priority)
          .value_or(Duration(0));
  return {JobResult::Outcome::kNotRun,
          RetryAfterPolicy::RetryAfter(expected_wait, job.priority, job.id), reason};
}

bool JobDispatcher::IsBacklogTooLong(const Job& job) const {
  const JobStep& step = job.steps.front();
  const auto expected_wait = this->hooks.expected_wait(job.service, step.task_count, job.priority);
  return expected_wait && *expected_wait > kExcessWaitFactor * MaximumWait(job, step);
}

bool JobDispatcher::IsStepReady(const JobEntry& entry, StepIndex step) const {
  const std::vector<StepIndex>& dependencies = entry.job.steps[step.value()].dependencies;
  return entry.placed_steps.count(step) == 0 &&
         std::all_of(dependencies.begin(), dependencies.end(),
                     [&entry](StepIndex earlier) { return entry.done_steps.count(earlier) > 0; });
}

std::vector<JobDispatcher::Placement> JobDispatcher::PlaceReadySteps(JobEntry& entry) {
  std::vector<Placement> placements;
  const Job& job = entry.job;
  for (uint32_t i = 0; i < job.steps.size(); ++i) {
    const StepIndex step(i);
    if (!this->IsStepReady(entry, step)) {
      continue;
    }
    const JobStep& job_step = job.steps[i];
    const auto allocator = this->hooks.choose_allocator(job.service, job_step.task_count);
    if (!allocator) {
      continue;
    }
    entry.placed_steps.insert(step);
    entry.last_batch = entry.last_batch.Next();
    entry.open_batches[entry.last_batch] = {*allocator, step};
    runs::TaskBatch batch;
    batch.key = {this->self, job.id, entry.last_batch};
    batch.service = job.service;
    batch.priority = job.priority;
    batch.maximum_attempts = job.maximum_attempts;
    batch.payload = job.payload;
    batch.placement_rule = job_step.placement_rule;
    batch.expected_run_time = job_step.estimated_run_time;
    for (uint32_t index = 0; index < job_step.task_count.value(); ++index) {
      batch.tasks.push_back({{job.id, base::OccurrenceNumber(), step, base::TaskIndex(index)},
                             job_step.required_resources});
    }
    batch.time_left = job.time_left - (this->hooks.now() - entry.arrived_at);
    batch.wait_limit = std::min(batch.time_left, MaximumWait(job, job_step));
    placements.push_back({*allocator, std::move(batch)});
  }
  return placements;
}

void JobDispatcher::Submit(Job job, uint64_t caller, ResultCallback callback) {
  const SubmissionId id = job.id;
  std::vector<Placement> placements;
  std::vector<EndedJob> ended_jobs;
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
      ended_jobs.push_back(
          this->EndJob(shard, found, this->NotRunResult(entry.job, "the gateway is stopping")));
      return;
    }
    if (this->IsBacklogTooLong(entry.job)) {
      ended_jobs.push_back(this->EndJob(
          shard, found,
          this->NotRunResult(entry.job, "the backlog is longer than the job may wait")));
      return;
    }
    placements = this->PlaceReadySteps(entry);
    if (placements.empty()) {
      ended_jobs.push_back(this->EndJob(
          shard, found, this->NotRunResult(entry.job, "no allocator has targets of the service")));
    }
  });
  this->SendPlacements(std::move(placements));
  this->NotifyJobEnds(ended_jobs);
}

bool JobDispatcher::AssignBatch(const runs::BatchKey& key, const HostId& allocator) {
  return this->shards.WithShard(key.job, [&](Shard& shard) {
    auto found = shard.find(key.job);
    if (found == shard.end()) {
      return false;
    }
    auto batch = found->second.open_batches.find(key.batch);
    if (batch == found->second.open_batches.end()) {
      return false;
    }
    batch->second.first = allocator;
    return true;
  });
}

void JobDispatcher::SendPlacements(std::vector<Placement> placements) {
  for (Placement& placement : placements) {
    const runs::TaskBatch& batch = placement.batch;
    while (this->AssignBatch(batch.key, placement.allocator) &&
           !this->hooks.place_batch(placement.allocator, batch)) {
      this->hooks.on_allocator_unreachable(placement.allocator);
      const auto other = this->hooks.choose_allocator(
          batch.service, base::TaskCount(static_cast<int64_t>(batch.tasks.size())));
      if (!other || *other == placement.allocator) {
        this->OnBatchEnd(placement.allocator, {batch.key, runs::BatchResult::Outcome::kNotRun,
                                               "no allocator is reachable"});
        break;
      }
      placement.allocator = *other;
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
    allocators.insert(placement.first);
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

void JobDispatcher::OnBatchEnd(const HostId& allocator, const runs::BatchResult& batch_result) {
  std::vector<Placement> placements;
  std::vector<EndedJob> ended_jobs;
  const SubmissionId& id = batch_result.key.job;
  this->shards.WithShard(id, [&](Shard& shard) {
    auto found = shard.find(id);
    if (found == shard.end()) {
      return;
    }
    JobEntry& entry = found->second;
    auto batch = entry.open_batches.find(batch_result.key.batch);
    if (batch == entry.open_batches.end() || batch->second.first != allocator) {
      return;
    }
    const StepIndex step = batch->second.second;
    entry.open_batches.erase(batch);
    entry.may_have_run =
        entry.may_have_run || batch_result.outcome != runs::BatchResult::Outcome::kNotRun;
    switch (batch_result.outcome) {
      case runs::BatchResult::Outcome::kCompleted:
        entry.done_steps.insert(step);
        if (entry.done_steps.size() == entry.job.steps.size()) {
          ended_jobs.push_back(this->EndJob(
              shard, found, {JobResult::Outcome::kCompleted, {}, batch_result.reason}));
          return;
        }
        placements = this->PlaceReadySteps(entry);
        if (placements.empty() && entry.open_batches.empty()) {
          ended_jobs.push_back(
              this->EndJob(shard, found, UnfinishedResult("no allocator for a later step")));
        }
        return;
      case runs::BatchResult::Outcome::kFailed:
        ended_jobs.push_back(
            this->EndJob(shard, found, {JobResult::Outcome::kFailed, {}, batch_result.reason}));
        return;
      case runs::BatchResult::Outcome::kNotRun:
        ended_jobs.push_back(
            this->EndJob(shard, found,
                         entry.may_have_run || !entry.open_batches.empty()
                             ? UnfinishedResult(batch_result.reason)
                             : this->NotRunResult(entry.job, batch_result.reason)));
        return;
      case runs::BatchResult::Outcome::kUnfinished:
        ended_jobs.push_back(this->EndJob(shard, found, UnfinishedResult(batch_result.reason)));
        return;
    }
  });
  this->SendPlacements(std::move(placements));
  this->NotifyJobEnds(ended_jobs);
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
            [&allocator](const auto& batch) { return batch.second.first == allocator; });
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
