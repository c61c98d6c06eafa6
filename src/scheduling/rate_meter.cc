#include "scheduling/rate_meter.h"

#include <algorithm>
#include <cmath>

#include "scheduling/seconds.h"

namespace sapphirecrank::scheduling {

using base::TimePoint;

namespace {
constexpr double kAveragingWindowSeconds = 0.5;
/// Ages in windows below which the exponential is linear to one part in a million.
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
  const double age = std::max(0.0, ToSeconds(now - this->last_update));
  const double windows = age / kAveragingWindowSeconds;
  return this->decayed_sum * (windows < kLinearAgeLimit ? 1 - windows : std::exp(-windows));
}

}  // namespace sapphirecrank::scheduling
