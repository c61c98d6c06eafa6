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

/// Places the steps of jobs with allocators and holds the jobs until their callers have the result.
///
/// Jobs are held in this process only. If all callers of a job leave, its deadline passes or one of
/// its allocators is lost, its runs are stopped, and its result says that some tasks may have run.
/// Thread safety: all methods may be called from any thread; state is in shards by job id, each
/// under its own lock. The hooks `now`, `choose_allocator` and `expected_wait` may run under the
/// lock of a shard, so they must not call this class; the other hooks and the callbacks run without
/// a lock.
class JobDispatcher {
 public:
  using ResultCallback = std::function<void(const JobResult&)>;

  /// All members must be set.
  struct Hooks {
    base::Clock now;
    /// Chooses the allocator for a number of tasks of a service, if there is one.
    std::function<std::optional<base::HostId>(const base::ServiceId&, base::TaskCount)>
        choose_allocator;
    /// Returns how long a number of tasks of a service and priority would wait for capacity, or
    /// none if no allocator could take them.
    std::function<std::optional<base::Duration>(const base::ServiceId&, base::TaskCount,
                                                base::Priority)>
        expected_wait;
    /// Sends a batch to an allocator; false means that it was certainly not sent.
    std::function<bool(const base::HostId&, const runs::TaskBatch&)> place_batch;
    /// Cancels all batches of a job at an allocator.
    std::function<void(const base::HostId&, const base::SubmissionId&)> cancel_job;
    /// Records the end of a job for logs and metrics; `age` is the time since its submission.
    std::function<void(const Job&, const JobResult&, base::Duration age)> on_job_end;
    /// A batch could not be sent to this allocator. `choose_allocator` should prefer others then.
    std::function<void(const base::HostId&)> on_allocator_unreachable;
  };

  JobDispatcher(base::HostId self, Hooks hooks);

  /// Submits a job. `callback` is called exactly once, during this call or later, unless
  /// `RemoveCaller` is called before. If a job with the same id is in progress, the caller gets the
  /// result of that one. `caller` identifies the caller for `RemoveCaller`; it must be unique for
  /// each call.
  void Submit(Job job, uint64_t caller, ResultCallback callback);

  /// Removes a caller that has left. A job that no other caller waits for is stopped.
  void RemoveCaller(const base::SubmissionId& id, uint64_t caller);

  /// Stops a job and passes its callers an unfinished result. Returns whether it was in progress.
  bool Cancel(const base::SubmissionId& id);

  /// Refuses all jobs that are submitted from now on, with the outcome `kNotRun`.
  void RefuseNewJobs() { this->is_refusing_new_jobs = true; }

  /// Stops all jobs and passes their callers an unfinished result with `reason`.
  void EndAllJobs(const std::string& reason);

  /// Processes the result of a batch. A result from another allocator than the one that the batch
  /// was placed with is ignored.
  void OnBatchEnd(const base::HostId& allocator, const runs::BatchResult& batch_result);

  /// Ends the jobs that have batches at a lost allocator.
  void OnAllocatorLost(const base::HostId& allocator);

  /// Ends the jobs whose deadline has passed. Must be called several times per 100 ms.
  void Tick();

  /// Returns the number of jobs in progress.
  size_t JobCount();

 private:
  struct JobEntry {
    Job job;
    std::map<uint64_t, ResultCallback> result_callbacks;
    base::TimePoint arrived_at;
    base::BatchNumber last_batch;
    /// The allocator and the step of each batch that has not ended.
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

  /// Returns the result of a job that is refused and has not run.
  JobResult NotRunResult(const Job& job, const std::string& reason) const;
  /// Returns whether the backlog is certainly longer than the first step of a new job may wait.
  bool IsBacklogTooLong(const Job& job) const;
  bool IsStepReady(const JobEntry& entry, base::StepIndex step) const;
  /// Creates batches for the steps that can start and find an allocator.
  std::vector<Placement> PlaceReadySteps(JobEntry& entry);
  /// Removes a job from its shard. The caller notifies the end after it has released the lock.
  EndedJob EndJob(Shard& shard, Shard::iterator job_iterator, JobResult result) const;
  /// Sends the batches to their allocators. One that can't be sent goes to another allocator, and
  /// ends as not run if there is none.
  void SendPlacements(std::vector<Placement> placements);
  /// Assigns an open batch to `allocator`. Returns false if the batch has ended.
  bool AssignBatch(const runs::BatchKey& key, const base::HostId& allocator);
  /// Cancels the open batches of ended jobs, calls the callers' callbacks and `on_job_end`.
  void NotifyJobEnds(const std::vector<EndedJob>& ended_jobs);
  /// Ends the jobs for which `is_due` returns true as unfinished, with `reason`.
  void EndJobsIf(const std::function<bool(const JobEntry&)>& is_due, const std::string& reason);

  base::HostId self;
  Hooks hooks;
  base::Sharded<base::SubmissionId, Shard> shards;
  std::atomic<bool> is_refusing_new_jobs{false};
};

}  // namespace sapphirecrank::gateway
