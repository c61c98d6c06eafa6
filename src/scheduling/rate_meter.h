#pragma once

#include "base/time.h"

namespace sapphirecrank::scheduling {

/// Exponential moving average of an amount per second.
///
/// Thread safety: none; the owner holds its lock.
class RateMeter {
 public:
  /// Adds `amount` at `now`.
  void Add(double amount, base::TimePoint now);

  /// Returns the average rate per second at `now`.
  double RatePerSecond(base::TimePoint now) const;

 private:
  double DecayedSumAt(base::TimePoint now) const;

  double decayed_sum = 0;
  base::TimePoint last_update;
};

}  // namespace sapphirecrank::scheduling
