#pragma once

#include <cstdint>

namespace sapphirecrank::targets {

/// Counters of ejections; each but `ejected_now` only grows.
struct HealthCounters {
  /// Targets that are ejected or on trial now.
  int64_t ejected_now = 0;
  int64_t ejections = 0;
  /// Ejections that were due while the action was switched off.
  int64_t would_have_ejected = 0;
  /// Ejections that were due but would have exceeded the largest share of ejected targets.
  int64_t prevented_by_share = 0;
  int64_t returns = 0;

  HealthCounters& operator+=(const HealthCounters& other) {
    this->ejected_now += other.ejected_now;
    this->ejections += other.ejections;
    this->would_have_ejected += other.would_have_ejected;
    this->prevented_by_share += other.prevented_by_share;
    this->returns += other.returns;
    return *this;
  }
};

}  // namespace sapphirecrank::targets
