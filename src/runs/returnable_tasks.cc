#include "runs/returnable_tasks.h"

#include <algorithm>
#include <utility>

namespace sapphirecrank::runs {

ReturnableTasks::ReturnableTasks(const PlacedBatch& placed,
                                 const std::multiset<JobTaskKey>& reserved_tasks,
                                 base::TimePoint queued_by) {
  for (const size_t position : placed.waiting_tasks) {
    if (placed.tasks[position].queued_at <= queued_by &&
        reserved_tasks.count(placed.batch.tasks[position].key) == 0) {
      this->task_positions.push_back(position);
    }
  }
}

void ReturnableTasks::RemoveFrom(PlacedBatch& placed) const {
  for (const size_t position : this->task_positions) {
    placed.tasks[position].is_returned = true;
  }
  std::vector<size_t>& waiting = placed.waiting_tasks;
  waiting.erase(
      std::remove_if(waiting.begin(), waiting.end(),
                     [&placed](size_t position) { return placed.tasks[position].is_returned; }),
      waiting.end());
}

ReturnedTasks ReturnableTasks::MakeMessage(const PlacedBatch& placed, std::string reason) const {
  ReturnedTasks message;
  message.key = placed.batch.key;
  message.reason = std::move(reason);
  for (const size_t position : this->task_positions) {
    const PlacedBatch::TaskState& task = placed.tasks[position];
    message.tasks.push_back({placed.batch.tasks[position].key, task.last_run_number.Next()});
    message.may_have_run = message.may_have_run || task.start_count > 0;
  }
  return message;
}

}  // namespace sapphirecrank::runs
