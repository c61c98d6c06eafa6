#include "gateway/backlog.h"

#include <algorithm>
#include <vector>

namespace sapphirecrank::gateway {

using base::TaskCount;
using runs::BlockedTasks;
using runs::TaskRequirements;
using runs::WaitingTasks;

namespace {

TaskCount CountUpTo(const std::vector<WaitingTasks>& waiting_by_priority,
                    std::optional<base::Priority> priority) {
  TaskCount count;
  for (const WaitingTasks& waiting : waiting_by_priority) {
    if (!priority || waiting.priority <= *priority) {
      count += waiting.count;
    }
  }
  return count;
}

}  // namespace

Backlog::Backlog(const runs::CapacityReport::ServiceCapacity& capacity,
                 const TaskRequirements& requirements)
    : capacity(capacity), requirements(requirements) {}

TaskCount Backlog::TasksAhead(std::optional<base::Priority> priority) const {
  TaskCount ahead = priority ? CountUpTo(this->capacity.waiting_by_priority, priority)
                             : this->capacity.waiting_task_count;
  for (const BlockedTasks& blocked : this->capacity.blocked_tasks) {
    // Tasks without a suitable target aren't in the total count.
    if (blocked.capacity > TaskCount(0) && !this->requirements.Include(blocked.requirements)) {
      const TaskCount count = CountUpTo(blocked.waiting_by_priority, priority);
      ahead -= std::max(TaskCount(0), count - blocked.capacity);
    }
  }
  return ahead;
}

bool Backlog::HasFreeCapacity(TaskCount count) const {
  TaskCount unblocked_count = this->capacity.waiting_task_count;
  for (const BlockedTasks& blocked : this->capacity.blocked_tasks) {
    if (this->requirements.Include(blocked.requirements)) {
      return false;
    }
    if (blocked.capacity > TaskCount(0)) {
      unblocked_count -= CountUpTo(blocked.waiting_by_priority, std::nullopt);
    }
  }
  return unblocked_count == TaskCount(0) && this->capacity.free_task_capacity >= count;
}

bool Backlog::IsFull() const {
  return std::any_of(this->capacity.blocked_tasks.begin(), this->capacity.blocked_tasks.end(),
                     [this](const BlockedTasks& blocked) {
                       return this->requirements.Include(blocked.requirements) &&
                              CountUpTo(blocked.waiting_by_priority, std::nullopt) >=
                                  blocked.capacity;
                     });
}

void Backlog::RecordPlacement(runs::CapacityReport::ServiceCapacity& capacity,
                              const TaskRequirements& requirements, TaskCount count) {
  for (BlockedTasks& blocked : capacity.blocked_tasks) {
    if (requirements.Include(blocked.requirements) && !blocked.waiting_by_priority.empty()) {
      blocked.waiting_by_priority.back().count += count;
      if (blocked.capacity > TaskCount(0)) {
        capacity.waiting_task_count += count;
      }
      return;
    }
  }
  capacity.free_task_capacity -= count;
}

}  // namespace sapphirecrank::gateway
