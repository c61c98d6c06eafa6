#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "base/mutex.h"
#include "base/sharded.h"
#include "base/thread_annotations.h"
#include "base/time.h"
#include "gateway/allocator_capacity.h"
#include "gateway/allocator_choice.h"
#include "gateway/allocator_request.h"
#include "gateway/batch_move.h"
#include "gateway/job.h"
#include "gateway/job_result.h"
#include "gateway/open_batch.h"
#include "gateway/recall_candidate.h"
#include "gateway/recall_policy.h"
#include "gateway/wait_policy.h"
#include "runs/batch_recall.h"
#include "runs/batch_result.h"
#include "runs/returned_tasks.h"
#include "runs/task_batch.h"

namespace sapphirecrank::gateway {

/// Places the steps of jobs with allocators and holds the jobs until their callers have the result.
///
/// Jobs are held in this process only. If all callers of a job leave, its deadline passes or one of
/// its allocators is lost, its runs are stopped, and its result says that some tasks may have run.
/// Tasks that their allocator returns or has no capacity for are placed again as a new batch, so
/// that a step may have several batches; each task is in one open batch at most.
///
/// Thread safety: all methods may be called from any thread; state is in shards by job id, each
/// under its own lock. The hooks `now`, `choose_allocator`, `expected_wait` and `random_unit` may
/// run under the lock of a shard, and `allocator_capacities` and `random_unit` under the lock of
/// the recall policy, so they must not call this class; the other hooks and the callbacks run
/// without a lock.
class JobDispatcher {
 public:
  using ResultCallback = std::function<void(const JobResult&)>;

  /// All members must be set.
  struct Hooks {
    base::Clock now;
    /// Chooses the allocator for a number of tasks of a service, if there is one.
    std::function<std::optional<AllocatorChoice>(const AllocatorRequest&)> choose_allocator;
    /// Returns how long a number of tasks of a service and priority with the same requirements
    /// would wait for capacity, or none if no allocator could take them.
    std::function<std::optional<base::Duration>(const base::ServiceId&, base::TaskCount,
                                                const runs::TaskRequirements&, base::Priority)>
        expected_wait;
    /// Sends a batch to an allocator; false means that it was certainly not sent.
    std::function<bool(const base::HostId&, const runs::TaskBatch&)> place_batch;
    /// Cancels all batches of a job at an allocator.
    std::function<void(const base::HostId&, const base::SubmissionId&)> cancel_job;
    /// Records the end of a job for logs and metrics; `age` is the time since its submission.
    std::function<void(const Job&, const JobResult&, base::Duration age)> on_job_end;
    /// A batch could not be sent to this allocator. `choose_allocator` should prefer others then.
    std::function<void(const base::HostId&)> on_allocator_unreachable;
    /// Returns the recently reported capacity of all allocators.
    std::function<std::vector<AllocatorCapacity>()> allocator_capacities;
    /// Asks an allocator to return the waiting tasks of a batch. May be lost.
    std::function<void(const base::HostId&, const runs::BatchRecall&)> recall_batch;
    /// Records that tasks are placed again, for logs and metrics.
    std::function<void(const BatchMove&)> on_batch_move;
    /// Returns a random number, at least 0 and less than 1.
    std::function<double()> random_unit;
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

  /// Places the tasks that an allocator has returned with another one, or, if there is none, ends
  /// their job: as refused if nothing of it may have run, and as unfinished otherwise. Tasks that
  /// aren't with this allocator, or whose job has ended, are ignored.
  void OnTasksReturned(const base::HostId& allocator, const runs::ReturnedTasks& returned);

  /// Recalls waiting batches for which another allocator has free capacity, see `RecallPolicy`.
  /// Must be called after each capacity report and several times per 100 ms; looks at the batches
  /// at most every 20 ms.
  void RecallWaitingBatches();

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
    std::map<base::BatchNumber, OpenBatch> open_batches;
    /// When each step was first placed.
    std::map<base::StepIndex, base::TimePoint> placed_steps;
    std::set<base::StepIndex> done_steps;
    bool may_have_run = false;
  };
  struct Placement {
    AllocatorChoice choice;
    /// What the allocator was chosen for.
    AllocatorRequest request;
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
  /// What is to be done about a job once the lock of its shard is released.
  struct JobActions {
    std::vector<BatchMove> moves;
    std::vector<Placement> placements;
    std::vector<EndedJob> ended_jobs;
  };

  /// Returns the result of a job that is refused and has not run.
  JobResult NotRunResult(const Job& job, const std::string& reason) const;
  /// Returns whether the backlog is certainly longer than the first step of a new job may wait.
  bool IsBacklogTooLong(const Job& job) const;
  bool IsStepReady(const JobEntry& entry, base::StepIndex step) const;
  /// Creates batches for the steps that can start and find an allocator.
  std::vector<Placement> PlaceReadySteps(JobEntry& entry);
  /// Chooses an allocator for the tasks of `open_batch`, whose other members describe the new
  /// batch, and adds it to the open batches of the job. Returns none if no allocator can take them.
  std::optional<Placement> PlaceBatch(JobEntry& entry, OpenBatch open_batch,
                                      base::Duration wait_limit, bool needs_free_capacity);
  /// Returns what has been used up of the job's time, for another placement of `batch`.
  WaitPolicy::Progress ProgressOf(const JobEntry& entry, const OpenBatch& batch) const;
  /// Returns a batch with the tasks of `previous`, to be placed without the allocator of `previous`
  /// unless that has reported after `avoided_since`.
  static OpenBatch NextBatchOf(const OpenBatch& previous, base::TimePoint avoided_since);
  /// Places tasks that `previous` had at its allocator once more, see `WaitPolicy`.
  std::optional<Placement> PlaceReturnedTasks(JobEntry& entry, const OpenBatch& previous,
                                              std::set<base::TaskIndex> tasks,
                                              base::RunNumber first_run_number);
  /// Places a batch that was not run with an allocator that has free capacity, see `WaitPolicy`.
  std::optional<Placement> PlaceRefusedBatch(JobEntry& entry, const OpenBatch& previous);
  /// Processes that an allocator has no task of a step any more, all being done or returned.
  void OnStepBatchDone(Shard& shard, Shard::iterator job_iterator, base::StepIndex step,
                       const std::string& reason, JobActions& actions);
  /// Removes a job from its shard. The caller notifies the end after it has released the lock.
  EndedJob EndJob(Shard& shard, Shard::iterator job_iterator, JobResult result) const;
  /// Ends a job of which a batch can't be placed (again): as refused if nothing of it may have run.
  EndedJob EndUnplacedJob(Shard& shard, Shard::iterator job_iterator,
                          const std::string& reason) const;
  void Execute(JobActions actions);
  /// Sends the batches to their allocators. One that can't be sent goes to another allocator, and
  /// ends as not run if there is none.
  void SendPlacements(std::vector<Placement> placements);
  /// Assigns an open batch to an allocator. Returns false if the batch has ended.
  bool AssignBatch(const runs::BatchKey& key, const AllocatorChoice& choice);
  std::vector<RecallCandidate> RecallCandidates();
  /// Records the recall of a batch. Returns false if it has ended or is with another allocator.
  bool MarkRecalled(const RecallCandidate& recall, base::TimePoint now);
  /// Cancels the open batches of ended jobs, calls the callers' callbacks and `on_job_end`.
  void NotifyJobEnds(const std::vector<EndedJob>& ended_jobs);
  /// Ends the jobs for which `is_due` returns true as unfinished, with `reason`.
  void EndJobsIf(const std::function<bool(const JobEntry&)>& is_due, const std::string& reason);

  base::HostId self;
  Hooks hooks;
  base::Sharded<base::SubmissionId, Shard> shards;
  std::atomic<bool> is_refusing_new_jobs{false};
  // Batches are numbered across all jobs: after the resubmission of a job, a late message about a
  // batch of the earlier submission must not be taken for one about a new batch.
  std::atomic<uint32_t> last_batch{0};
  base::Mutex recall_mutex;
  RecallPolicy recall_policy GUARDED_BY(recall_mutex);
  base::TimePoint last_recall_at GUARDED_BY(recall_mutex);
};

}  // namespace sapphirecrank::gateway
