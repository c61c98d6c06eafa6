#pragma once

#include <cstdint>

#include "targets/health_counters.h"

namespace sapphirecrank::scheduling {

/// Counters of the scheduler. `queued_tasks` and `health_counters.currently_ejected` are current
/// values; all others only grow. Tasks that are refused together count as one refusal.
struct SchedulerStatus {
  int64_t queued_tasks = 0;
  int64_t started_tasks = 0;
  int64_t cancelled_tasks = 0;
  /// Refused because the task can't meet its deadline.
  int64_t refused_for_deadline = 0;
  /// Refused because no known target could ever fit the task.
  int64_t refused_as_unsatisfiable = 0;
  /// Refused because a queue is full or its expected wait too long.
  int64_t refused_for_overload = 0;
  /// Bulk tasks refused early in favour of other classes; also counted in `refused_for_overload`.
  int64_t bulk_tasks_shed = 0;
  /// Bulk tasks that would have been refused early if bulk shedding were enabled.
  int64_t bulk_tasks_not_shed = 0;
  targets::HealthCounters health_counters;

  SchedulerStatus& operator+=(const SchedulerStatus& other) {
    this->queued_tasks += other.queued_tasks;
    this->started_tasks += other.started_tasks;
    this->cancelled_tasks += other.cancelled_tasks;
    this->refused_for_deadline += other.refused_for_deadline;
    this->refused_as_unsatisfiable += other.refused_as_unsatisfiable;
    this->refused_for_overload += other.refused_for_overload;
    this->bulk_tasks_shed += other.bulk_tasks_shed;
    this->bulk_tasks_not_shed += other.bulk_tasks_not_shed;
    this->health_counters += other.health_counters;
    return *this;
  }
};

}  // namespace sapphirecrank::scheduling
