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
#include "stored/job_state.h"
#include "stored/job_state_machine.h"

namespace sapphirecrank::stored {

/// Places the tasks of stored jobs with the allocators, on the host that leads the group.
///
/// What is placed is known in memory only. A new leader waits until no run of the former one can be
/// present; a host that loses its lease stops what it has placed. Thread safety: all methods may be
/// called from any thread; state is in shards by job.
class JobScheduler {
 public:
  /// Behaviour handed in; all members must be set.
  struct Hooks {
    base::Clock now;
    /// Picks the allocator for some tasks of a service, if there is one. Runs under a shard's lock
    /// and must not wait; the other hooks run without one.
    std::function<std::optional<base::HostId>(const base::ServiceId&, base::TaskCount)>
        choose_allocator;
    /// Sends a part to an allocator; false means that it was surely not sent.
    std::function<bool(const base::HostId&, const runs::TaskBatch&)> place_batch;
    /// Stops what an allocator holds of a job.
    std::function<void(const base::HostId&, const base::SubmissionId&)> cancel_job;
    /// Proposes that the records of these ended jobs be dropped.
    std::function<void(const std::vector<base::SubmissionId>&)> remove_job_records;
    /// This host has begun or ceased to run the stored jobs.
    std::function<void(bool)> on_leadership_change;
  };

  enum class EventDisposition {
    /// Durable already, or not about a stored job.
    kAcknowledge,
    /// Must be agreed on by the group first.
    kPropose,
    /// The run's task was placed again before the end was known.
    kSuperseded,
  };

  struct Settings {
    base::HostId self;
    /// How long the record of an ended job is kept.
    base::Duration job_retention = std::chrono::seconds(120);
  };

  /// Precondition: `stored_jobs` outlives this object.
  JobScheduler(Settings settings, JobStateMachine& stored_jobs, Hooks hooks);

  /// Tells that this host leads the group in `term` and holds the lease at this moment. To be
  /// called several times in 100 ms while it does.
  void OnLeaseHeld(base::Term term);

  /// Tells whether this host runs the stored jobs.
  bool IsLeading() const { return this->is_leading; }

  /// Takes note that the group has changed these jobs.
  void OnJobsChanged(const std::vector<base::SubmissionId>& ids);

  void OnBatchEnd(const base::HostId& allocator, const runs::BatchResult& end);

  /// Gives up what a lost allocator held, once its runs are surely gone.
  void OnAllocatorLost(const base::HostId& allocator);

  /// Decides what a notice of an allocator means. Precondition: `IsLeading()`.
  EventDisposition ClassifyRunEvent(const runs::RunEvent& notice);

  /// Does what is due by time. To be called several times in 100 ms.
  void Tick();

  /// Returns the state of a job as its caller sees it.
  JobState JobStateOf(const base::SubmissionId& id);

  /// Returns the number of open jobs of a queue of which no task has begun.
  size_t PendingJobCount(const base::QueueId& queue);

 private:
  struct TaskState {
    /// Part that holds the task; 0 if none does.
    base::BatchNumber batch;
    /// Lowest number of a run of the latest part that held the task.
    base::RunNumber first_run_number;
    /// The task isn't placed before this time.
    base::TimePoint earliest_placement;
    /// Run whose end is being agreed on; unset if there is none.
    std::optional<base::RunNumber> run_awaiting_commit;
  };
  struct JobEntry {
    base::Priority priority;
    base::QueueId queue;
    /// Rises with each job.
    uint64_t arrival_number = 0;
    std::vector<std::vector<TaskState>> steps;
    base::BatchNumber last_batch;
    std::map<base::BatchNumber, base::HostId> open_batches;
    bool has_begun = false;
    /// When this host learnt that the job has ended; unset while it is open.
    std::optional<base::TimePoint> ended_at;
  };
  struct Placement {
    base::HostId allocator;
    runs::TaskBatch batch;
  };
  struct Shard {
    std::map<base::SubmissionId, JobEntry> jobs;
    /// Jobs that may have tasks to place, so that the others cost nothing while they are kept.
    std::set<base::SubmissionId> jobs_to_place;
  };

  void StartLeading(base::Term term);
  void StopLeading();
  void StopLeadingIfLeaseExpired();
  /// Brings the entry of a job in line with its record; returns the allocators to cancel it at.
  std::vector<base::HostId> UpdateEntry(Shard& shard, const base::SubmissionId& id);
  /// Returns the part for what can be placed of a step, if anything can. `has_more` is set if some
  /// tasks have to wait.
  std::optional<Placement> PlaceStep(JobEntry& entry, const StoredJob& stored, base::StepIndex step,
                                     bool& has_more);
  std::vector<Placement> PlaceReadySteps(const base::SubmissionId& id);
  bool MayPlaceTasks();
  void PlaceJob(const base::SubmissionId& id);
  void PlaceWaitingJobs();
  void RemoveEndedJobs();
  static void ReleaseBatch(JobEntry& entry, base::BatchNumber part, base::TimePoint not_before);

  Settings settings;
  JobStateMachine& stored_jobs;
  Hooks hooks;
  base::Sharded<base::SubmissionId, Shard> shards;
  std::atomic<uint64_t> next_arrival_number{1};
  std::atomic<bool> is_leading{false};
  base::Mutex leadership_mutex;
  base::Term term GUARDED_BY(leadership_mutex);
  /// All parts of this leadership have higher numbers, and all earlier ones of this host lower
  /// ones.
  base::BatchNumber batch_number_base GUARDED_BY(leadership_mutex);
  base::TimePoint leadership_expires_at GUARDED_BY(leadership_mutex);
  base::TimePoint placement_starts_at GUARDED_BY(leadership_mutex);
  base::TimePoint next_removal_at GUARDED_BY(leadership_mutex);
};

}  // namespace sapphirecrank::stored
