#include "gateway/job_dispatcher.h"

#include <algorithm>
#include <utility>

namespace sapphirecrank::gateway {

using base::BatchNumber;
using base::Duration;
using base::HostId;
using base::StepIndex;
using base::SubmissionId;

namespace {

constexpr size_t kShardCount = 16;
// Share of the time that a job may wait beyond its run time after which it is refused, so that the
// caller hears of it while it can still go elsewhere.
constexpr double kMaximumWaitShare = 0.75;
constexpr Duration kRetryAfter = std::chrono::seconds(1);

JobResult UnfinishedResult(const std::string& reason) {
  return {JobResult::Outcome::kUnfinished, kRetryAfter, reason};
}

JobResult NotRunResult(const std::string& reason) {
  return {JobResult::Outcome::kNotRun, kRetryAfter, reason};
}

}  // namespace

JobDispatcher::JobDispatcher(HostId self, Hooks hooks)
    : self(std::move(self)), hooks(std::move(hooks)), shards(kShardCount) {}

bool JobDispatcher::IsStepReady(const JobEntry& entry, StepIndex step) const {
  const std::vector<StepIndex>& after = entry.job.steps[step.value()].dependencies;
  return entry.placed_steps.count(step) == 0 &&
         std::all_of(after.begin(), after.end(),
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
    const JobStep& wanted = job.steps[i];
    const auto allocator = this->hooks.choose_allocator(job.service, wanted.task_count);
    if (!allocator) {
      return {};
    }
    entry.placed_steps.insert(step);
    entry.last_batch = entry.last_batch.Next();
    entry.open_batches[entry.last_batch] = {*allocator, step};
    runs::TaskBatch part;
    part.key = {this->self, job.id, entry.last_batch};
    part.service = job.service;
    part.priority = job.priority;
    part.maximum_attempts = job.maximum_attempts;
    part.payload = job.payload;
    part.placement_rule = wanted.placement_rule;
    for (uint32_t index = 0; index < wanted.task_count.value(); ++index) {
      part.tasks.push_back({{job.id, base::OccurrenceNumber(), step, base::TaskIndex(index)},
                            wanted.required_resources});
    }
    part.time_left = job.time_left - (this->hooks.now() - entry.arrived_at);
    const Duration allowed = job.latency_objective + std::chrono::duration_cast<Duration>(
                                                         wanted.estimated_run_time *
                                                         std::max(0.0, job.maximum_slowdown - 1));
    part.wait_limit =
        std::min(part.time_left, std::chrono::duration_cast<Duration>(allowed * kMaximumWaitShare));
    placements.push_back({*allocator, std::move(part)});
  }
  return placements;
}

void JobDispatcher::Submit(Job job, uint64_t caller, ResultCallback answer) {
  const SubmissionId id = job.id;
  std::vector<Placement> placements;
  std::vector<EndedJob> endings;
  this->shards.WithShard(id, [&](Shard& shard) {
    auto [found, is_new] = shard.try_emplace(id);
    JobEntry& entry = found->second;
    entry.result_callbacks.emplace(caller, std::move(answer));
    if (!is_new) {
      return;
    }
    entry.job = std::move(job);
    entry.arrived_at = this->hooks.now();
    if (this->is_refusing_new_jobs) {
      endings.push_back(this->EndJob(shard, found, NotRunResult("the gateway is stopping")));
      return;
    }
    placements = this->PlaceReadySteps(entry);
    if (placements.empty()) {
      endings.push_back(
          this->EndJob(shard, found, NotRunResult("no allocator has targets of the service")));
    }
  });
  this->SendPlacements(placements);
  this->NotifyJobEnds(endings);
}

void JobDispatcher::SendPlacements(const std::vector<Placement>& placements) {
  for (const Placement& placement : placements) {
    if (!this->hooks.place_batch(placement.allocator, placement.batch)) {
      this->OnBatchEnd(placement.allocator,
                       {placement.batch.key, runs::BatchResult::Outcome::kNotRun,
                        "the allocator is not in reach"});
    }
  }
}

JobDispatcher::EndedJob JobDispatcher::EndJob(Shard& shard, Shard::iterator found,
                                              JobResult answer) const {
  JobEntry& entry = found->second;
  EndedJob ending;
  ending.age_at_end = this->hooks.now() - entry.arrived_at;
  ending.result = std::move(answer);
  ending.job = std::move(entry.job);
  for (auto& [caller, respond] : entry.result_callbacks) {
    ending.result_callbacks.push_back(std::move(respond));
  }
  std::set<HostId> hosts;
  for (const auto& [part, place] : entry.open_batches) {
    hosts.insert(place.first);
  }
  ending.allocators_to_cancel_at.assign(hosts.begin(), hosts.end());
  shard.erase(found);
  return ending;
}

void JobDispatcher::NotifyJobEnds(const std::vector<EndedJob>& endings) {
  for (const EndedJob& ending : endings) {
    for (const HostId& host : ending.allocators_to_cancel_at) {
      this->hooks.cancel_job(host, ending.job.id);
    }
    for (const ResultCallback& answer : ending.result_callbacks) {
      answer(ending.result);
    }
    this->hooks.on_job_end(ending.job, ending.result, ending.age_at_end);
  }
}

void JobDispatcher::RemoveCaller(const SubmissionId& id, uint64_t caller) {
  std::vector<EndedJob> endings;
  this->shards.WithShard(id, [&](Shard& shard) {
    auto found = shard.find(id);
    if (found == shard.end() || found->second.result_callbacks.erase(caller) == 0 ||
        !found->second.result_callbacks.empty()) {
      return;
    }
    endings.push_back(this->EndJob(shard, found, UnfinishedResult("the caller has left")));
  });
  this->NotifyJobEnds(endings);
}

bool JobDispatcher::Cancel(const SubmissionId& id) {
  std::vector<EndedJob> endings;
  this->shards.WithShard(id, [&](Shard& shard) {
    auto found = shard.find(id);
    if (found != shard.end()) {
      endings.push_back(this->EndJob(shard, found, UnfinishedResult("cancelled by a caller")));
    }
  });
  this->NotifyJobEnds(endings);
  return !endings.empty();
}

void JobDispatcher::OnBatchEnd(const HostId& allocator, const runs::BatchResult& end) {
  std::vector<Placement> placements;
  std::vector<EndedJob> endings;
  const SubmissionId& id = end.key.job;
  this->shards.WithShard(id, [&](Shard& shard) {
    auto found = shard.find(id);
    if (found == shard.end()) {
      return;
    }
    JobEntry& entry = found->second;
    auto part = entry.open_batches.find(end.key.batch);
    if (part == entry.open_batches.end() || part->second.first != allocator) {
      return;
    }
    const StepIndex step = part->second.second;
    entry.open_batches.erase(part);
    entry.may_have_run = entry.may_have_run || end.outcome != runs::BatchResult::Outcome::kNotRun;
    switch (end.outcome) {
      case runs::BatchResult::Outcome::kCompleted:
        entry.done_steps.insert(step);
        if (entry.done_steps.size() == entry.job.steps.size()) {
          endings.push_back(
              this->EndJob(shard, found, {JobResult::Outcome::kCompleted, {}, end.reason}));
          return;
        }
        placements = this->PlaceReadySteps(entry);
        if (placements.empty() && entry.open_batches.empty()) {
          endings.push_back(
              this->EndJob(shard, found, UnfinishedResult("no allocator for a later step")));
        }
        return;
      case runs::BatchResult::Outcome::kFailed:
        endings.push_back(
            this->EndJob(shard, found, {JobResult::Outcome::kFailed, {}, end.reason}));
        return;
      case runs::BatchResult::Outcome::kNotRun:
        endings.push_back(this->EndJob(shard, found,
                                       entry.may_have_run || !entry.open_batches.empty()
                                           ? UnfinishedResult(end.reason)
                                           : NotRunResult(end.reason)));
        return;
      case runs::BatchResult::Outcome::kUnfinished:
        endings.push_back(this->EndJob(shard, found, UnfinishedResult(end.reason)));
        return;
    }
  });
  this->SendPlacements(placements);
  this->NotifyJobEnds(endings);
}

void JobDispatcher::EndJobsIf(const std::function<bool(const JobEntry&)>& is_due,
                              const std::string& reason) {
  std::vector<EndedJob> endings;
  this->shards.ForEachShard([&](Shard& shard) {
    for (auto found = shard.begin(); found != shard.end();) {
      auto next = std::next(found);
      if (is_due(found->second)) {
        endings.push_back(this->EndJob(shard, found, UnfinishedResult(reason)));
      }
      found = next;
    }
  });
  this->NotifyJobEnds(endings);
}

void JobDispatcher::EndAllJobs(const std::string& reason) {
  this->EndJobsIf([](const JobEntry& /*entry*/) { return true; }, reason);
}

void JobDispatcher::OnAllocatorLost(const HostId& allocator) {
  this->EndJobsIf(
      [&allocator](const JobEntry& entry) {
        return std::any_of(
            entry.open_batches.begin(), entry.open_batches.end(),
            [&allocator](const auto& part) { return part.second.first == allocator; });
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
