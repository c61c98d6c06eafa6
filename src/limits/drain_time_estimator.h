#pragma once

#include <optional>

#include "base/time.h"
#include "base/units.h"

namespace sapphirecrank::limits {

/// Estimates from past ends of tasks how long it takes until a number of further tasks end.
///
/// Thread safety: none; the owner holds a lock.
class DrainTimeEstimator {
 public:
  /// Records that `count` tasks ended; none are ignored.
  void OnTasksEnded(base::TimePoint now, base::TaskCount count);

  /// Returns the time that `count` ends are likely to take, between 5 ms and 2 s.
  base::Duration TimeUntilEnded(base::TaskCount count) const;

 private:
  // Before anything has been seen: the run time of a short task.
  base::Duration mean_end_interval = std::chrono::milliseconds(50);
  std::optional<base::TimePoint> last_end;
};

}  // namespace sapphirecrank::limits
