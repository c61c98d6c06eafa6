#include "jobs/task_table.h"

#include <algorithm>

namespace sapphirecrank::jobs {

namespace {

constexpr PlacementNumber kFirstPlacement(1);

bool CanRetryPlacement(const TaskReport& report, uint32_t maximum_placements) {
  bool is_permanent_error = report.error_code == base::ErrorCode::kUnsatisfiable ||
                            report.error_code == base::ErrorCode::kInvalidArgument ||
                            report.error_code == base::ErrorCode::kDeadlineExceeded;
  return !is_permanent_error && report.placement.value() < maximum_placements;
}

base::TaskIndex ToTaskIndex(size_t position) {
  return base::TaskIndex(static_cast<base::TaskIndex::ValueType>(position));
}

}  // namespace

TaskTable::TaskTable(size_t size) : tasks(size), waiting_count(size) {}

void TaskTable::MergeRecord(const std::vector<base::TaskIndex>& started_tasks,
                            const std::vector<TaskResult>& results) {
  for (base::TaskIndex index : started_tasks) {
    if (index.value() < this->tasks.size() && this->TaskAt(index).phase == Phase::kWaiting) {
      this->RemoveFromPhaseCount(Phase::kWaiting);
      this->TaskAt(index).phase = Phase::kInherited;
      ++this->inherited_count;
      ++this->in_flight_count;
    }
  }
  for (const TaskResult& result : results) {
    if (result.index.value() < this->tasks.size() &&
        this->TaskAt(result.index).phase != Phase::kEnded) {
      this->EndTask(result.index, result.verdict, result.succeeded, result.body);
    }
  }
}

std::vector<base::TaskIndex> TaskTable::TakeTasksToStart(size_t maximum_in_flight) {
  std::vector<base::TaskIndex> tasks_to_start;
  while (this->waiting_count > 0 && this->in_flight_count < maximum_in_flight) {
    Task& task = this->tasks[this->first_waiting_index];
    if (task.phase == Phase::kWaiting) {
      this->RemoveFromPhaseCount(Phase::kWaiting);
      task.phase = Phase::kRecordingStart;
      ++this->in_flight_count;
      tasks_to_start.push_back(ToTaskIndex(this->first_waiting_index));
    }
    ++this->first_waiting_index;
  }
  return tasks_to_start;
}

void TaskTable::RequeueStarts(const std::vector<base::TaskIndex>& started_tasks) {
  for (base::TaskIndex index : started_tasks) {
    if (this->TaskAt(index).phase == Phase::kRecordingStart) {
      this->RemoveFromPhaseCount(Phase::kRecordingStart);
      this->TaskAt(index).phase = Phase::kWaiting;
      ++this->waiting_count;
      this->first_waiting_index = std::min<size_t>(this->first_waiting_index, index.value());
    }
  }
}

bool TaskTable::PlaceTask(base::TaskIndex index, base::Epoch epoch) {
  Task& task = this->TaskAt(index);
  if (task.phase != Phase::kRecordingStart) {
    return false;
  }
  task.phase = Phase::kPlaced;
  task.placement = kFirstPlacement;
  task.placement_epoch = epoch;
  return true;
}

std::vector<base::TaskIndex> TaskTable::RetryPlacements(base::Epoch epoch) {
  std::vector<base::TaskIndex> placed_tasks;
  placed_tasks.swap(this->placement_retries);
  for (base::TaskIndex index : placed_tasks) {
    Task& task = this->TaskAt(index);
    task.phase = Phase::kPlaced;
    task.placement = task.placement.Next();
    task.placement_epoch = epoch;
  }
  return placed_tasks;
}

TaskTable::ReportOutcome TaskTable::ApplyReport(const TaskReport& report,
                                                uint32_t maximum_placements) {
  base::TaskIndex index = report.key.index;
  if (index.value() >= this->tasks.size()) {
    return ReportOutcome::kIgnored;
  }
  const Task& task = this->TaskAt(index);
  if (task.phase == Phase::kPlaced && task.placement_epoch == report.epoch &&
      task.placement == report.placement) {
    return this->ApplyPlacedTaskReport(report, maximum_placements);
  }
  if (task.phase == Phase::kInherited && report.verdict == base::ExecutionVerdict::kRan) {
    return this->ApplyRanReport(report);
  }
  return ReportOutcome::kIgnored;
}

std::vector<base::TaskIndex> TaskTable::EndUnfinishedTasks() {
  std::vector<base::TaskIndex> placed_tasks;
  for (size_t position = 0; position < this->tasks.size(); ++position) {
    base::TaskIndex index = ToTaskIndex(position);
    Phase phase = this->tasks[position].phase;
    if (phase == Phase::kEnded) {
      continue;
    }
    bool may_have_run = phase == Phase::kPlaced || phase == Phase::kInherited;
    if (phase == Phase::kPlaced) {
      placed_tasks.push_back(index);
    }
    this->EndTask(
        index, may_have_run ? base::ExecutionVerdict::kMayHaveRun : base::ExecutionVerdict::kNotRun,
        false, "");
  }
  this->placement_retries.clear();
  return placed_tasks;
}

std::vector<base::TaskIndex> TaskTable::StartedTasks() const {
  std::vector<base::TaskIndex> started_tasks;
  for (size_t position = 0; position < this->tasks.size(); ++position) {
    Phase phase = this->tasks[position].phase;
    if (phase != Phase::kWaiting && phase != Phase::kEnded) {
      started_tasks.push_back(ToTaskIndex(position));
    }
  }
  return started_tasks;
}

std::vector<TaskResult> TaskTable::TakeUnrecordedResults() {
  std::vector<TaskResult> results;
  results.reserve(this->unrecorded_results.size());
  for (base::TaskIndex index : this->unrecorded_results) {
    results.push_back(this->ResultOf(index));
  }
  this->unrecorded_results.clear();
  return results;
}

void TaskTable::MarkResultsUnrecorded(const std::vector<TaskResult>& results) {
  for (const TaskResult& result : results) {
    this->unrecorded_results.push_back(result.index);
  }
}

void TaskTable::MarkAllResultsUnrecorded() {
  this->unrecorded_results.clear();
  for (size_t position = 0; position < this->tasks.size(); ++position) {
    if (this->tasks[position].phase == Phase::kEnded) {
      this->unrecorded_results.push_back(ToTaskIndex(position));
    }
  }
}

std::vector<TaskResult> TaskTable::Results(bool is_outcome_recorded) const {
  std::vector<TaskResult> results;
  results.reserve(this->tasks.size());
  for (size_t position = 0; position < this->tasks.size(); ++position) {
    results.push_back(this->ResultOf(ToTaskIndex(position)));
    if (!is_outcome_recorded && results.back().verdict == base::ExecutionVerdict::kNotRun) {
      results.back().verdict = base::ExecutionVerdict::kMayHaveRun;
    }
  }
  return results;
}

PlacementNumber TaskTable::PlacementOf(base::TaskIndex index) const {
  return this->TaskAt(index).placement;
}

base::Epoch TaskTable::PlacementEpochOf(base::TaskIndex index) const {
  return this->TaskAt(index).placement_epoch;
}

void TaskTable::RemoveFromPhaseCount(Phase phase) {
  switch (phase) {
    case Phase::kWaiting:
      --this->waiting_count;
      break;
    case Phase::kInherited:
      --this->inherited_count;
      --this->in_flight_count;
      break;
    case Phase::kRecordingStart:
    case Phase::kPlaced:
    case Phase::kAwaitingPlacementRetry:
      --this->in_flight_count;
      break;
    case Phase::kEnded:
      break;
  }
}

void TaskTable::EndTask(base::TaskIndex index, base::ExecutionVerdict verdict, bool succeeded,
                        const std::string& body) {
  Task& task = this->TaskAt(index);
  this->RemoveFromPhaseCount(task.phase);
  task.phase = Phase::kEnded;
  task.verdict = verdict;
  task.succeeded = succeeded;
  task.body = body;
  ++this->ended_count;
  this->any_task_failed = this->any_task_failed || !succeeded;
  this->unrecorded_results.push_back(index);
}

TaskTable::ReportOutcome TaskTable::ApplyPlacedTaskReport(const TaskReport& report,
                                                          uint32_t maximum_placements) {
  base::TaskIndex index = report.key.index;
  if (report.verdict == base::ExecutionVerdict::kRan) {
    return this->ApplyRanReport(report);
  }
  if (report.verdict == base::ExecutionVerdict::kNotRun &&
      CanRetryPlacement(report, maximum_placements)) {
    this->TaskAt(index).phase = Phase::kAwaitingPlacementRetry;
    this->placement_retries.push_back(index);
    return ReportOutcome::kRetryPlacement;
  }
  this->EndTask(index, report.verdict, false, report.body);
  return ReportOutcome::kFailed;
}

TaskTable::ReportOutcome TaskTable::ApplyRanReport(const TaskReport& report) {
  this->EndTask(report.key.index, base::ExecutionVerdict::kRan, report.succeeded, report.body);
  return report.succeeded ? ReportOutcome::kSucceeded : ReportOutcome::kFailed;
}

TaskResult TaskTable::ResultOf(base::TaskIndex index) const {
  const Task& task = this->TaskAt(index);
  TaskResult result;
  result.index = index;
  result.verdict = task.verdict;
  result.succeeded = task.succeeded;
  result.body = task.body;
  return result;
}

}  // namespace sapphirecrank::jobs
