#pragma once

#include <optional>

#include "base/time.h"
#include "base/units.h"

namespace sapphirecrank::limits {

/// Estimates how long it takes until a number of tasks have left a queue or a quota, from the mean
/// interval between past departures.
///
/// Thread safety: none; the owner holds a lock.
class DrainTimeEstimator {
 public:
  /// Records that `task_count` tasks left at `now`. Zero or less is ignored.
  void OnDepartures(base::TimePoint now, base::TaskCount task_count);

  /// Returns the estimated time until `task_count` tasks have left, clamped to 5 ms to 2 s.
  base::Duration TimeUntilDepartures(base::TaskCount task_count) const;

 private:
  // The initial value is the run time of a short task.
  base::Duration mean_departure_interval = std::chrono::milliseconds(50);
  std::optional<base::TimePoint> last_departure;
};

}  // namespace sapphirecrank::limits
