#include "limits/drain_time_estimator.h"

#include <algorithm>

namespace sapphirecrank::limits {

using base::Duration;
using base::TaskCount;
using base::TimePoint;

namespace {
constexpr Duration kMinimumDrainTime = std::chrono::milliseconds(5);
constexpr Duration kMaximumDrainTime = std::chrono::seconds(2);
constexpr int kSmoothingDivisor = 8;
}  // namespace

void DrainTimeEstimator::OnDepartures(TimePoint now, TaskCount task_count) {
  if (task_count <= TaskCount(0)) {
    return;
  }
  if (this->last_departure) {
    const Duration time_since_last_departure =
        std::clamp(now - *this->last_departure, Duration(0), kMaximumDrainTime);
    this->mean_departure_interval +=
        (time_since_last_departure / task_count.value() - this->mean_departure_interval) /
        kSmoothingDivisor;
  }
  this->last_departure = now;
}

Duration DrainTimeEstimator::TimeUntilDepartures(TaskCount task_count) const {
  return std::clamp(this->mean_departure_interval * task_count.value(), kMinimumDrainTime,
                    kMaximumDrainTime);
}

}  // namespace sapphirecrank::limits
