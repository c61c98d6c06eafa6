#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "base/execution_verdict.h"
#include "base/ids.h"
#include "jobs/placement_number.h"
#include "jobs/task_report.h"
#include "jobs/task_result.h"

namespace sapphirecrank::jobs {

/// State of the tasks of one job at its owner or its backup.
///
/// A task waits, then its start is recorded, then it is placed, perhaps several times in sequence,
/// then it has ended. Does not depend on views, timers or hooks. Thread safety: none; the lock of
/// the coordinator's shard guards it.
class TaskTable {
 public:
  enum class ReportOutcome {
    /// The report is not about the latest placement, or its task has ended already.
    kIgnored,
    /// The task ran with success.
    kSucceeded,
    /// The task has not run and can be placed again.
    kRetryPlacement,
    /// The task can't succeed any more.
    kFailed,
  };

  /// Creates `size` waiting tasks.
  explicit TaskTable(size_t size);

  /// Merges another host's record. Tasks with a recorded start and no result become inherited; this
  /// host never places them. Indices outside the table are ignored.
  void MergeRecord(const std::vector<base::TaskIndex>& started_tasks,
                   const std::vector<TaskResult>& results);

  /// Takes waiting tasks, whose starts are to be recorded, until `maximum_in_flight` tasks are in
  /// flight, and returns them.
  std::vector<base::TaskIndex> TakeTasksToStart(size_t maximum_in_flight);

  /// Moves those of `started_tasks` whose start is still being recorded back to waiting.
  void RequeueStarts(const std::vector<base::TaskIndex>& started_tasks);

  /// Gives a task whose start has been recorded its first placement. Returns false if its
  /// start wasn't being recorded.
  bool PlaceTask(base::TaskIndex index, base::Epoch epoch);

  /// Gives each task that awaits a placement retry its next placement, and returns these tasks.
  std::vector<base::TaskIndex> RetryPlacements(base::Epoch epoch);

  /// Applies a report. A report on an older placement is ignored, because that placement is known
  /// not to run. For a task that an earlier owner started, only "ran" is used: after "not run" that
  /// owner may have placed the task again.
  ReportOutcome ApplyReport(const TaskReport& report, uint32_t maximum_placements);

  /// Ends all tasks that have not ended, each with a correct verdict, and returns those that may be
  /// running under a placement of this host.
  std::vector<base::TaskIndex> EndUnfinishedTasks();

  /// Returns the tasks that have a start record or placement and no result.
  std::vector<base::TaskIndex> StartedTasks() const;

  /// Returns the results that have not been taken for a record yet, and marks them as taken.
  std::vector<TaskResult> TakeUnrecordedResults();

  /// Marks taken results as not recorded, because they may not have reached the backup.
  void MarkResultsUnrecorded(const std::vector<TaskResult>& results);

  /// Marks all results as not recorded, for a backup that has none of them.
  void MarkAllResultsUnrecorded();

  /// Returns one entry for each task. If `is_outcome_recorded` is false, "not run" becomes "may
  /// have run", because another host may still start the task.
  std::vector<TaskResult> Results(bool is_outcome_recorded) const;

  /// Returns the number of the task's latest placement, or 0 if this host has not placed it.
  PlacementNumber PlacementOf(base::TaskIndex index) const;

  /// Returns the epoch in which the task's latest placement was made.
  base::Epoch PlacementEpochOf(base::TaskIndex index) const;

  size_t size() const { return this->tasks.size(); }
  size_t in_flight_task_count() const { return this->in_flight_count; }
  size_t ended_task_count() const { return this->ended_count; }
  bool has_waiting_tasks() const { return this->waiting_count > 0; }
  bool has_inherited_tasks() const { return this->inherited_count > 0; }
  bool has_unrecorded_results() const { return !this->unrecorded_results.empty(); }
  bool has_failed_task() const { return this->any_task_failed; }
  bool all_tasks_succeeded() const {
    return this->ended_count == this->tasks.size() && !this->any_task_failed;
  }

 private:
  enum class Phase : uint8_t {
    kWaiting,
    /// The start record awaits its acknowledgement.
    kRecordingStart,
    /// The latest placement may run.
    kPlaced,
    /// The latest placement has not run; the next one is due after a delay.
    kAwaitingPlacementRetry,
    /// Another owner recorded the start.
    kInherited,
    kEnded,
  };

  struct Task {
    Phase phase = Phase::kWaiting;
    base::ExecutionVerdict verdict = base::ExecutionVerdict::kNotRun;
    bool succeeded = false;
    PlacementNumber placement;
    base::Epoch placement_epoch;
    std::string body;
  };

  Task& TaskAt(base::TaskIndex index) { return this->tasks[index.value()]; }
  const Task& TaskAt(base::TaskIndex index) const { return this->tasks[index.value()]; }
  void RemoveFromPhaseCount(Phase phase);
  void EndTask(base::TaskIndex index, base::ExecutionVerdict verdict, bool succeeded,
               const std::string& body);
  ReportOutcome ApplyPlacedTaskReport(const TaskReport& report, uint32_t maximum_placements);
  ReportOutcome ApplyRanReport(const TaskReport& report);
  TaskResult ResultOf(base::TaskIndex index) const;

  std::vector<Task> tasks;
  std::vector<base::TaskIndex> unrecorded_results;
  std::vector<base::TaskIndex> placement_retries;
  // No task with a lower index is waiting.
  size_t first_waiting_index = 0;
  size_t waiting_count = 0;
  size_t in_flight_count = 0;
  size_t inherited_count = 0;
  size_t ended_count = 0;
  bool any_task_failed = false;
};

}  // namespace sapphirecrank::jobs
