#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/mutex.h"
#include "base/sharded.h"
#include "base/thread_annotations.h"
#include "base/time.h"
#include "runs/batch_result.h"
#include "runs/run_event.h"
#include "runs/task_batch.h"
#include "runs/task_requirements.h"
#include "stored/job_command.h"
#include "stored/job_state.h"
#include "stored/job_state_machine.h"

namespace sapphirecrank::stored {

/// Places the tasks of stored jobs with the allocators, on the host that leads the group.
///
/// Placements are kept in memory only. A new leader places nothing until no run of the former
/// leader can be left, and a host that loses its lease cancels what it has placed. Before a task is
/// placed again, the group records that its earlier runs are superseded, because their ends may
/// reach a later leader, which doesn't know the placements of this one. Thread safety: all methods
/// may be called from any thread. State is sharded by job.
class JobScheduler {
 public:
  /// Behaviour that the owner supplies; all members must be set. `now` and `choose_allocator` may
  /// run under a lock, so they must not wait or call this class; the other hooks run without a
  /// lock.
  struct Hooks {
    base::Clock now;
    /// Chooses the allocator for a number of tasks of a service with the same requirements; nothing
    /// if there is none. One of the given allocators is chosen only if there is no other one.
    std::function<std::optional<base::HostId>(const base::ServiceId&, base::TaskCount,
                                              const runs::TaskRequirements&,
                                              const std::set<base::HostId>&)>
        choose_allocator;
    /// Sends a batch to an allocator. Returns false only if it was certainly not sent.
    std::function<bool(const base::HostId&, const runs::TaskBatch&)> place_batch;
    /// Cancels all batches of a job at an allocator.
    std::function<void(const base::HostId&, const base::SubmissionId&)> cancel_job;
    /// Proposes to the group to remove the records of these ended jobs.
    std::function<void(const std::vector<base::SubmissionId>&)> remove_job_records;
    /// Proposes to the group to record that runs are superseded. A proposal that isn't committed is
    /// repeated.
    std::function<void(const JobCommand::SupersedeRuns&)> supersede_runs;
    /// Called with true after this host has begun to schedule the stored jobs, and with false after
    /// it has stopped.
    std::function<void(bool)> on_leadership_change;
  };

  /// What the caller has to do with a run event.
  enum class EventDisposition {
    /// Acknowledge it: its effect is durable already, or nothing has to be recorded.
    kAcknowledge,
    /// Propose its outcome to the group, and acknowledge it once that is committed.
    kPropose,
    /// Answer that it is superseded: the task was placed again before the end was known, or has
    /// succeeded in another run.
    kSuperseded,
    /// Send no answer: this host doesn't schedule the job, or doesn't yet. The event is repeated.
    kIgnore,
  };

  struct Settings {
    base::HostId self;
    /// Time for which the record of an ended job is kept.
    base::Duration job_retention = std::chrono::seconds(120);
    /// Time after the loss of an allocator until the runs on its targets are gone and the next
    /// owners of these targets have read how they ended; also the time after an election until the
    /// runs of a former leader are gone. The leases of the targets have to end within it.
    base::Duration lost_run_delay = std::chrono::milliseconds(1800);
  };

  /// Precondition: `stored_jobs` outlives this object.
  JobScheduler(Settings settings, JobStateMachine& stored_jobs, Hooks hooks);

  /// Records that this host leads the group in `current_term` and holds the leader lease now. Must
  /// be called several times per 100 ms while it does.
  void OnLeaseHeld(base::Term current_term);

  /// Tells whether this host schedules the stored jobs.
  bool IsLeading();

  /// Updates the entries of jobs whose records have changed, and places what is ready of them.
  void OnJobsChanged(const std::vector<base::SubmissionId>& ids);

  /// Handles the end of a batch. Tasks without a recorded or pending outcome are placed again
  /// later.
  void OnBatchEnd(const base::HostId& allocator, const runs::BatchResult& result);

  /// Releases the batches of a lost allocator. Their tasks are placed again once their runs are
  /// certainly gone.
  void OnAllocatorLost(const base::HostId& allocator);

  /// Decides what has to be done with an allocator's run event, and marks the run's outcome as
  /// awaiting its commit if that is `kPropose`. Returns `kIgnore` for a stored job if this host
  /// doesn't lead.
  EventDisposition ClassifyRunEvent(const runs::RunEvent& event);

  /// Stops leading if the lease has expired, places waiting tasks, and removes records of ended
  /// jobs. Must be called several times per 100 ms.
  void Tick();

  /// Returns the state of a job as its caller sees it.
  JobState JobStateOf(const base::SubmissionId& id);

  /// Returns the number of open jobs of a queue of which no task has begun.
  size_t PendingJobCount(const base::QueueId& queue);

 private:
  struct TaskState {
    /// The batch that holds the task; 0 if none does.
    base::BatchNumber batch;
    /// Lowest run number of the latest batch that held the task.
    base::RunNumber first_run_number;
    /// The task is not placed before this time.
    base::TimePoint earliest_placement;
    /// The run whose outcome awaits its commit; unset if there is none.
    std::optional<base::RunNumber> run_awaiting_commit;
    /// A run may have been started that isn't recorded as superseded. The task isn't placed again
    /// before that.
    bool may_have_runs = false;
    /// The lowest valid run that was proposed; 0 if no proposal awaits its commit.
    base::RunNumber proposed_lowest_run;
    /// The proposal is repeated at this time.
    base::TimePoint next_proposal_at;
    /// Allocators that have given the task back without a start since all others had. Capacity
    /// reports don't say how large the targets are.
    std::set<base::HostId> refusing_allocators;
  };
  struct JobEntry {
    base::Priority priority;
    base::QueueId queue;
    /// Increases with each job.
    uint64_t arrival_number = 0;
    /// When this host learned of the job.
    base::TimePoint arrived_at;
    std::vector<std::vector<TaskState>> steps;
    base::BatchNumber last_batch;
    std::map<base::BatchNumber, base::HostId> open_batches;
    bool has_begun = false;
    /// When this host learned that the job has ended; unset while the job is open.
    std::optional<base::TimePoint> ended_at;
  };
  struct Placement {
    base::HostId allocator;
    runs::TaskBatch batch;
  };
  /// What to do for the tasks of a job that are ready.
  struct ReadyWork {
    std::vector<Placement> placements;
    /// The lowest valid runs to propose, one for each task.
    std::vector<runs::RunKey> lowest_valid_runs;
  };
  struct Shard {
    std::map<base::SubmissionId, JobEntry> jobs;
    /// Jobs that may have tasks to place. Only these are visited to place waiting tasks, however
    /// many records are kept.
    std::set<base::SubmissionId> jobs_to_place;
    /// Batches that are recorded as placed and may not have been sent yet. A batch that is
    /// withdrawn in the meantime is removed; its sender then cancels it after it has sent it.
    std::set<runs::BatchKey> batches_in_transit;
  };

  void StartLeading(base::Term current_term);
  void StopLeading();
  void StopLeadingIfLeaseExpired();
  /// Updates the entries of jobs from their records, and places what is ready of them.
  /// `may_have_runs` says whether an earlier leader may have started tasks of jobs without an
  /// entry.
  void UpdateJobs(const std::vector<base::SubmissionId>& ids, bool may_have_runs);
  /// Updates the entry of a job from its record. Returns the allocators at which the job must be
  /// cancelled.
  std::vector<base::HostId> UpdateEntry(Shard& shard, const base::SubmissionId& id,
                                        bool may_have_runs);
  /// Updates what awaits the commit of a task's record.
  static void UpdateTask(TaskState& task, const StoredTask& stored_task);
  /// Adds a batch of the tasks of a step that can be placed now, and proposals for those whose
  /// earlier runs have to be superseded first. Returns whether some tasks have to wait.
  bool PlaceStep(JobEntry& entry, const StoredJob& stored, base::StepIndex step, ReadyWork& work);
  /// Adds proposals to record that the earlier runs of these tasks of a step are superseded.
  void SupersedeEarlierRuns(JobEntry& entry, const StoredJob& stored, base::StepIndex step,
                            const std::vector<size_t>& task_indices, ReadyWork& work);
  /// Returns a batch of these tasks of a step, and records it in `entry`.
  Placement MakePlacement(JobEntry& entry, const StoredJob& stored, base::StepIndex step,
                          const std::vector<size_t>& task_indices, const base::HostId& allocator);
  ReadyWork PlaceReadySteps(const base::SubmissionId& id);
  bool MayPlaceTasks();
  void PlaceJobs(const std::vector<base::SubmissionId>& ids);
  void PlaceWaitingJobs();
  void RemoveEndedJobs();
  static void ReleaseBatch(JobEntry& entry, base::BatchNumber batch,
                           base::TimePoint earliest_placement, bool may_have_runs);
  /// Releases the batches of a job at an allocator that has cancelled them, or is about to. Their
  /// tasks are placed again once their runs are certainly gone.
  void WithdrawBatches(Shard& shard, const base::SubmissionId& id, JobEntry& entry,
                       const base::HostId& allocator);
  /// Sends a batch. Cancels it at the allocator if it was withdrawn before it was sent, because the
  /// cancellation that was sent then may have arrived before the batch.
  void SendBatch(const Placement& placement);

  Settings settings;
  JobStateMachine& stored_jobs;
  Hooks hooks;
  base::Sharded<base::SubmissionId, Shard> shards;
  std::atomic<uint64_t> next_arrival_number{1};
  std::atomic<bool> is_leading{false};
  base::Mutex leadership_mutex;
  base::Term term GUARDED_BY(leadership_mutex);
  /// The batches of the current leadership have higher numbers than this; those of earlier
  /// leaderships of this host don't.
  base::BatchNumber batch_number_base GUARDED_BY(leadership_mutex);
  base::TimePoint leadership_expires_at GUARDED_BY(leadership_mutex);
  base::TimePoint placement_starts_at GUARDED_BY(leadership_mutex);
  base::TimePoint next_removal_at GUARDED_BY(leadership_mutex);
};

}  // namespace sapphirecrank::stored
