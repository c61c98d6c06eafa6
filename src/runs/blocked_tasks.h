#pragma once

#include <vector>

#include "base/units.h"
#include "runs/task_requirements.h"
#include "runs/waiting_tasks.h"

namespace sapphirecrank::runs {

/// Waiting tasks of one kind that can't use all of an allocator's capacity: only some of its
/// targets are suitable, or capacity is free that the tasks can't use.
struct BlockedTasks {
  TaskRequirements requirements;
  /// Tasks of this kind that the suitable targets hold when nothing else runs there; 0 if no target
  /// that can start runs now is suitable.
  base::TaskCount capacity;
  /// The highest priority first.
  std::vector<WaitingTasks> waiting_by_priority;

  friend bool operator==(const BlockedTasks& a, const BlockedTasks& b) {
    return a.requirements == b.requirements && a.capacity == b.capacity &&
           a.waiting_by_priority == b.waiting_by_priority;
  }
};

}  // namespace sapphirecrank::runs
