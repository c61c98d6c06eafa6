#pragma once

#include <cstdint>

namespace sapphirecrank::targets {

/// Counters of ejections. All but `currently_ejected` only grow.
struct HealthCounters {
  /// Number of targets that are ejected or on probation now.
  int64_t currently_ejected = 0;
  int64_t ejections = 0;
  /// Ejections that were due while ejection was disabled.
  int64_t would_have_ejected = 0;
  /// Ejections that were due but would have exceeded the maximum share of ejected targets.
  int64_t prevented_by_limit = 0;
  /// Targets that became healthy again after probation.
  int64_t recoveries = 0;

  HealthCounters& operator+=(const HealthCounters& other) {
    this->currently_ejected += other.currently_ejected;
    this->ejections += other.ejections;
    this->would_have_ejected += other.would_have_ejected;
    this->prevented_by_limit += other.prevented_by_limit;
    this->recoveries += other.recoveries;
    return *this;
  }
};

}  // namespace sapphirecrank::targets
