#pragma once

#include <cstdint>

#include "targets/health_status.h"

namespace sapphirecrank::scheduling {

/// Counters of the scheduler; all but `queued` and `health.currently_ejected` only grow.
struct SchedulerStatus {
  int64_t queued = 0;
  int64_t started = 0;
  int64_t cancelled = 0;
  /// Refused because the task can't make its deadline.
  int64_t refused_deadline = 0;
  /// Refused because no known target could ever hold the task.
  int64_t refused_unsatisfiable = 0;
  /// Refused because a queue is full or its wait too long.
  int64_t refused_overload = 0;
  /// Bulk work refused early in favour of other classes (part of `refused_overload`).
  int64_t bulk_shed = 0;
  /// Bulk work that would have been refused early if the action was switched on.
  int64_t bulk_would_have_shed = 0;
  targets::HealthCounters health;

  SchedulerStatus& operator+=(const SchedulerStatus& other) {
    this->queued += other.queued;
    this->started += other.started;
    this->cancelled += other.cancelled;
    this->refused_deadline += other.refused_deadline;
    this->refused_unsatisfiable += other.refused_unsatisfiable;
    this->refused_overload += other.refused_overload;
    this->bulk_shed += other.bulk_shed;
    this->bulk_would_have_shed += other.bulk_would_have_shed;
    this->health += other.health;
    return *this;
  }
};

}  // namespace sapphirecrank::scheduling
