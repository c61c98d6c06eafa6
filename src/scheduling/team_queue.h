#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "base/time.h"
#include "scheduling/task_list.h"

namespace sapphirecrank::scheduling {

/// The queued tasks of one team in one `FairQueue`, in levels by expected run time.
///
/// Each level is first-in first-out. The next task is the oldest of the level whose oldest task has
/// waited longest in relation to the level's run time. Short tasks thus overtake long ones, but no
/// task waits forever. Thread safety: none; the owner holds its lock.
class TeamQueue {
 public:
  static constexpr size_t kLevelCount = 10;

  /// Returns the level of tasks with the expected run time `expected`.
  static uint8_t LevelOf(base::Duration expected);

  /// Appends a task to its level.
  void PushTask(TaskRecord& task);

  /// Removes a task. Precondition: it is in this queue.
  void RemoveTask(TaskRecord& task);

  /// Returns the task to start next, or null if no task is queued.
  TaskRecord* NextTask(base::TimePoint now) const;

  /// Tells whether no task is queued.
  bool empty() const { return this->nonempty_levels == 0; }

  /// Returns the sum of the expected run times of the queued tasks, in seconds.
  double queued_work_seconds() const { return this->total_work_seconds; }

 private:
  std::array<TaskList<&TaskRecord::queue_links>, kLevelCount> levels;
  /// Bit set of the levels that have tasks.
  uint32_t nonempty_levels = 0;
  double total_work_seconds = 0;
};

}  // namespace sapphirecrank::scheduling
