#include "scheduling/rate_meter.h"

#include <algorithm>
#include <cmath>

#include "scheduling/seconds.h"

namespace sapphirecrank::scheduling {

using base::TimePoint;

namespace {
/// Time in which an amount decays to 1/e.
constexpr double kAveragingWindowSeconds = 0.5;
/// Age, in averaging windows, below which the exponential is linear to one part in a million.
constexpr double kLinearAgeLimit = 1e-3;
}  // namespace

void RateMeter::Add(double amount, TimePoint now) {
  this->decayed_sum = this->DecayedSumAt(now) + amount;
  this->last_update = std::max(this->last_update, now);
}

double RateMeter::RatePerSecond(TimePoint now) const {
  return this->DecayedSumAt(now) / kAveragingWindowSeconds;
}

double RateMeter::DecayedSumAt(TimePoint now) const {
  const double age_seconds = std::max(0.0, ToSeconds(now - this->last_update));
  const double age_in_windows = age_seconds / kAveragingWindowSeconds;
  return this->decayed_sum *
         (age_in_windows < kLinearAgeLimit ? 1 - age_in_windows : std::exp(-age_in_windows));
}

}  // namespace sapphirecrank::scheduling
