#pragma once

#include <array>
#include <cstddef>
#include <deque>
#include <unordered_map>
#include <vector>

#include "base/ids.h"
#include "base/priority_class.h"
#include "base/result.h"
#include "base/task_key.h"
#include "base/time.h"
#include "limits/automatic_actions.h"
#include "scheduling/effects.h"
#include "scheduling/load_summary.h"
#include "scheduling/priority_class_queue.h"
#include "scheduling/run_time_estimator.h"
#include "scheduling/scheduler_settings.h"
#include "scheduling/scheduler_status.h"
#include "scheduling/submission_tasks.h"
#include "scheduling/target_index.h"
#include "scheduling/target_state.h"
#include "scheduling/task_outcome.h"
#include "scheduling/task_record.h"
#include "scheduling/task_spec.h"
#include "scheduling/team_record.h"
#include "targets/target_health_tracker.h"

namespace sapphirecrank::scheduling {

/// Scheduler state for the targets of one kind: queues, targets and learned run times.
///
/// Tasks start by priority class, urgent first, and within a class short before long work, as far
/// as the shares in `SchedulerSettings` allow. Methods that may start or refuse queued tasks append
/// their decisions to `effects`.
/// Thread safety: none; `Scheduler` holds the shard's lock.
class SchedulerShard {
 public:
  /// Sets the settings. Precondition: no task or target was added yet.
  void Configure(const SchedulerSettings& settings);

  /// These methods are described at `Scheduler`. `CurrentLoad` is its `LoadOfKind`.
  base::Result<void> Enqueue(const TaskSpec* specs, size_t count, base::TimePoint now,
                             Effects& effects);
  void UpdateTarget(const TargetState& state, base::TimePoint now, Effects& effects);
  void RemoveTarget(const base::TargetId& target, base::TimePoint now);
  void OnTaskEnded(const base::TaskKey& key, const base::TargetId& target,
                   const TaskOutcome& outcome, base::TimePoint now, Effects& effects);
  void CancelSubmission(const base::SubmissionId& submission,
                        std::vector<base::TaskKey>& cancelled);
  void CancelTeam(const base::TeamId& team, base::TimePoint now,
                  std::vector<base::TaskKey>& cancelled);
  void SetTeamWeight(const base::TeamId& team, base::Weight weight);
  void SetAutomaticActions(const limits::AutomaticActions& actions, base::TimePoint now,
                           Effects& effects);
  void Tick(base::TimePoint now, Effects& effects);
  LoadSummary CurrentLoad(base::TimePoint now) const;
  SchedulerStatus Status() const;

 private:
  /// A target that is reserved for a size class of a queue.
  struct ReservedTarget {
    size_t queue_index = 0;
    size_t size_class = 0;
    TargetEntry* target = nullptr;
  };

  /// One queue for short and one for long work of each priority class.
  static constexpr size_t kQueueCount = size_t{2} * base::kPriorityClassCount;

  static size_t QueueIndex(base::PriorityClass priority_class, bool is_long);
  static base::Error MakeDeadlineError(const char* message);
  PriorityClassQueue& QueueOf(const TaskRecord& task);
  PriorityClassQueue::SizeClass& SizeClassOf(const ReservedTarget& reservation);
  TeamRecord& FindOrAddTeam(const base::TeamId& team);
  size_t QueuedTasksOfClass(base::PriorityClass priority_class) const;

  /// Expected run time, in seconds, that a submission adds to each size class of each queue.
  using AddedWorkSeconds =
      std::array<std::array<double, PriorityClassQueue::kSizeClassCount>, kQueueCount>;

  base::Result<void> AddTaskRecord(const TaskSpec& spec, size_t preceding_tasks,
                                   AddedWorkSeconds& added_work, std::vector<TaskRecord*>& added,
                                   base::TimePoint now);
  void RemoveTaskRecords(const std::vector<TaskRecord*>& added);
  void InitializeTaskRecord(TaskRecord& record, const TaskSpec& spec, base::TimePoint now);
  base::Result<void> CheckAdmission(const TaskSpec& spec, const TaskRecord& task,
                                    size_t preceding_tasks, AddedWorkSeconds& added_work,
                                    base::TimePoint now);
  base::Result<void> CheckQueueSizes(const TaskSpec& spec, const TaskRecord& task,
                                     size_t preceding_tasks) const;
  base::Result<void> CheckExpectedWait(const TaskSpec& spec, const TaskRecord& task,
                                       AddedWorkSeconds& added_work, base::TimePoint now);
  /// Refuses work whose expected wait exceeds the limit of its class. Bulk work is admitted and
  /// only counted while bulk shedding is disabled.
  base::Result<void> RefuseForExpectedWait(base::PriorityClass priority_class);
  void CountRefusal(base::ErrorCode code);
  base::Error MakeUnsatisfiableError(const base::Resources& required_resources) const;
  void ScheduleExpiry(TaskRecord& task);
  void EnqueueTask(TaskRecord& task, base::TimePoint now);
  void DequeueTask(TaskRecord& task);
  void RemoveFromSubmission(const TaskRecord& task);
  void RemoveTaskRecord(const TaskRecord& task);
  void RefuseExpiredTask(TaskRecord& task, Effects& effects);

  void StartReadyTasks(base::TimePoint now, Effects& effects);
  /// The `Start...` methods that return bool tell whether they started or refused a task or
  /// cancelled a reservation; another task may then be ready to start.
  bool StartNextTask(base::TimePoint now, Effects& effects);
  bool StartOnReservedTargets(base::TimePoint now, Effects& effects);
  bool StartFromStarvingQueues(base::TimePoint now, Effects& effects);
  bool StartFromQueue(size_t queue_index, base::TimePoint now, Effects& effects);
  bool StartHeadTask(size_t queue_index, PriorityClassQueue::SizeClass& size_class,
                     base::TimePoint now, Effects& effects);
  bool RefuseHeadIfExpired(TaskRecord& task, base::TimePoint now, Effects& effects);
  void StartTask(TaskRecord& task, TargetEntry& target, base::TimePoint now, Effects& effects);
  bool IsQueueBelowShareLimits(size_t queue_index) const;
  bool IsLongWorkBelowShareLimit() const;
  void OnHeadBlocked(size_t queue_index, const TaskRecord& task, base::TimePoint now);
  void ReserveTargetIfDue(size_t queue_index, const TaskRecord& task, base::TimePoint now);
  void CancelReservation(size_t reservation_index, base::TimePoint now);
  void CancelReservationOf(const TargetEntry& target, base::TimePoint now);
  void BeginProbations(base::TimePoint now);

  SchedulerSettings settings;
  limits::AutomaticActions automatic_actions;
  SchedulerStatus status;
  TargetIndex target_index;
  targets::TargetHealthTracker target_health;
  RunTimeEstimator run_time_estimator{2};
  std::array<PriorityClassQueue, kQueueCount> queues;
  std::unordered_map<base::TaskKey, TaskRecord> tasks;
  std::unordered_map<base::SubmissionId, SubmissionTasks> submissions;
  std::unordered_map<base::TeamId, TeamRecord> teams;
  TaskRecord::ExpiryMap expiries;
  std::vector<ReservedTarget> reserved_targets;
};

}  // namespace sapphirecrank::scheduling
