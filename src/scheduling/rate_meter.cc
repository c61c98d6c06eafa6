#include "scheduling/rate_meter.h"

#include <algorithm>
#include <cmath>

#include "scheduling/seconds.h"

namespace sapphirecrank::scheduling {

using base::TimePoint;

namespace {
constexpr double kWindowSeconds = 0.5;
}  // namespace

void RateMeter::Add(double amount, TimePoint now) {
  this->sum = this->Decayed(now) + amount;
  this->last = std::max(this->last, now);
}

double RateMeter::Rate(TimePoint now) const { return this->Decayed(now) / kWindowSeconds; }

double RateMeter::Decayed(TimePoint now) const {
  const double age = std::max(0.0, Seconds(now - this->last));
  return this->sum * std::exp(-age / kWindowSeconds);
}

}  // namespace sapphirecrank::scheduling
