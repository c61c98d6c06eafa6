#include "runs/task_end_rate.h"

#include <cmath>

namespace sapphirecrank::runs {

using base::Duration;
using base::TimePoint;

namespace {
constexpr Duration kTimeConstant = std::chrono::seconds(1);
constexpr double kMinimumCount = 5;
}  // namespace

double TaskEndRate::DecayedCountAt(TimePoint now) const {
  const std::chrono::duration<double> age = now - this->updated_at;
  return this->decayed_count * std::exp(-age / kTimeConstant);
}

void TaskEndRate::RecordEnd(TimePoint now) {
  this->decayed_count = this->DecayedCountAt(now) + 1;
  this->updated_at = now;
}

Duration TaskEndRate::MeanInterval(TimePoint now) const {
  const double count = this->DecayedCountAt(now);
  if (count < kMinimumCount) {
    return Duration(0);
  }
  return std::chrono::duration_cast<Duration>(kTimeConstant / count);
}

}  // namespace sapphirecrank::runs
