#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "base/sharded.h"
#include "base/time.h"
#include "gateway/job.h"
#include "gateway/job_result.h"
#include "runs/batch_result.h"
#include "runs/task_batch.h"

namespace sapphirecrank::gateway {

/// The jobs that this gateway holds until their callers have the answer.
///
/// A job lives in this process only: when its caller leaves, its deadline passes or an allocator is
/// lost, what it has begun is stopped and the answer says that it may have run. Thread safety: all
/// methods may be called from any thread; state is in shards by job id. Hooks run without a lock.
class JobDispatcher {
 public:
  using ResultCallback = std::function<void(const JobResult&)>;

  /// Behaviour handed in; all members must be set.
  struct Hooks {
    base::Clock now;
    /// Picks the allocator for some tasks of a service, if there is one.
    std::function<std::optional<base::HostId>(const base::ServiceId&, base::TaskCount)>
        choose_allocator;
    /// Sends a part to an allocator; false means that it was surely not sent.
    std::function<bool(const base::HostId&, const runs::TaskBatch&)> place_batch;
    /// Stops what an allocator holds of a job.
    std::function<void(const base::HostId&, const base::SubmissionId&)> cancel_job;
    /// Notes the end of a job, for logs and metrics: when it came, and when it began to run.
    std::function<void(const Job&, const JobResult&, base::Duration age)> on_job_end;
  };

  JobDispatcher(base::HostId self, Hooks hooks);

  /// Takes in a job. `answer` runs exactly once, now or later, unless `RemoveCaller` comes first.
  /// The same id again joins the job in hand. `caller` names the caller for `RemoveCaller`; no
  /// other call has the same number.
  void Submit(Job job, uint64_t caller, ResultCallback answer);

  /// Tells that a caller has left: a job that nobody else waits for is stopped.
  void RemoveCaller(const base::SubmissionId& id, uint64_t caller);

  /// Stops a job and answers its callers. Returns whether it was in hand.
  bool Cancel(const base::SubmissionId& id);

  /// Refuses all further jobs.
  void RefuseNewJobs() { this->is_refusing_new_jobs = true; }

  /// Stops all jobs and answers their callers that they may have run.
  void EndAllJobs(const std::string& reason);

  void OnBatchEnd(const base::HostId& allocator, const runs::BatchResult& end);

  /// Ends the jobs that have parts with a lost allocator.
  void OnAllocatorLost(const base::HostId& allocator);

  /// Ends the jobs whose deadline has passed. To be called several times in 100 ms.
  void Tick();

  /// Returns the number of jobs in hand.
  size_t JobCount();

 private:
  struct JobEntry {
    Job job;
    std::map<uint64_t, ResultCallback> result_callbacks;
    base::TimePoint arrived_at;
    base::BatchNumber last_batch;
    /// Where the parts are that have not ended, and the step of each.
    std::map<base::BatchNumber, std::pair<base::HostId, base::StepIndex>> open_batches;
    std::set<base::StepIndex> placed_steps;
    std::set<base::StepIndex> done_steps;
    bool may_have_run = false;
  };
  struct Placement {
    base::HostId allocator;
    runs::TaskBatch batch;
  };
  struct EndedJob {
    Job job;
    std::vector<ResultCallback> result_callbacks;
    std::vector<base::HostId> allocators_to_cancel_at;
    JobResult result;
    base::Duration age_at_end{0};
  };
  using Shard = std::map<base::SubmissionId, JobEntry>;

  bool IsStepReady(const JobEntry& entry, base::StepIndex step) const;
  std::vector<Placement> PlaceReadySteps(JobEntry& entry);
  EndedJob EndJob(Shard& shard, Shard::iterator found, JobResult answer) const;
  void SendPlacements(const std::vector<Placement>& placements);
  void NotifyJobEnds(const std::vector<EndedJob>& endings);
  /// Ends the jobs for which `is_due` holds.
  void EndJobsIf(const std::function<bool(const JobEntry&)>& is_due, const std::string& reason);

  base::HostId self;
  Hooks hooks;
  base::Sharded<base::SubmissionId, Shard> shards;
  std::atomic<bool> is_refusing_new_jobs{false};
};

}  // namespace sapphirecrank::gateway
