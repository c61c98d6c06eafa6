#pragma once

#include "base/time.h"

namespace sapphirecrank::runs {

/// Measures how often runs end and free capacity, over about the last second.
///
/// Thread safety: none.
class TaskEndRate {
 public:
  /// Records the end of one run.
  void RecordEnd(base::TimePoint now);

  /// Returns the mean time between two ends, or zero if too few have ended to tell.
  base::Duration MeanInterval(base::TimePoint now) const;

 private:
  /// Returns the count of ends at `now`, in which earlier ends weigh exponentially less.
  double DecayedCountAt(base::TimePoint now) const;

  double decayed_count = 0;
  base::TimePoint updated_at;
};

}  // namespace sapphirecrank::runs
