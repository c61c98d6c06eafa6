#include "scheduling/team_queue.h"

#include <algorithm>

#include "scheduling/seconds.h"

namespace sapphirecrank::scheduling {

using base::Duration;
using base::TimePoint;

namespace {
/// Largest expected run time of the lowest level; it doubles with each further level.
constexpr Duration kLowestLevelRunTimeLimit = std::chrono::milliseconds(50);
}  // namespace

uint8_t TeamQueue::LevelOf(Duration expected) {
  uint8_t level = 0;
  Duration limit = kLowestLevelRunTimeLimit;
  while (expected > limit && level + 1U < kLevelCount) {
    limit *= 2;
    ++level;
  }
  return level;
}

void TeamQueue::PushTask(TaskRecord& task) {
  this->levels[task.run_time_level].PushBack(task);
  this->nonempty_levels |= 1U << task.run_time_level;
  this->total_work_seconds += ToSeconds(task.estimate.expected);
}

void TeamQueue::RemoveTask(TaskRecord& task) {
  this->levels[task.run_time_level].Remove(task);
  this->total_work_seconds =
      std::max(0.0, this->total_work_seconds - ToSeconds(task.estimate.expected));
  if (this->levels[task.run_time_level].empty()) {
    this->nonempty_levels &= ~(1U << task.run_time_level);
  }
  if (this->nonempty_levels == 0) {
    this->total_work_seconds = 0;
  }
}

TaskRecord* TeamQueue::NextTask(TimePoint now) const {
  TaskRecord* next_task = nullptr;
  double largest_ratio = 0;
  for (size_t level = 0; level < kLevelCount; ++level) {
    if ((this->nonempty_levels & (1U << level)) == 0) {
      continue;
    }
    TaskRecord* oldest = this->levels[level].front();
    // One nanosecond is added so that, among tasks queued at this very moment, the shortest goes
    // first.
    const double waited_nanoseconds = static_cast<double>((now - oldest->enqueued_at).count() + 1);
    const double wait_ratio = waited_nanoseconds / static_cast<double>(int64_t{1} << level);
    if (next_task == nullptr || wait_ratio > largest_ratio) {
      next_task = oldest;
      largest_ratio = wait_ratio;
    }
  }
  return next_task;
}

}  // namespace sapphirecrank::scheduling
