#pragma once

#include "base/units.h"
#include "limits/response_sample.h"

namespace sapphirecrank::limits {

/// Adaptive concurrency limit of one target: the number of calls in flight that it handles without
/// slowing down.
///
/// The slowdown of a call is its response time divided by the expected run time of its task kind,
/// so that a mix of short and long kinds doesn't look like a slow target. The limit shrinks when
/// the average slowdown exceeds the baseline by more than half. The baseline is the smallest
/// average so far and drifts slowly upwards. Each sign of overload lowers the limit by a fifth.
/// Otherwise it grows while at least half of it is in use. Each event takes constant time. Thread
/// safety: none; the owner holds a lock.
class AdaptiveLimit {
 public:
  /// Starts with a limit of `upper_bound` calls. An upper bound below 1 is raised to 1.
  explicit AdaptiveLimit(base::SlotCount upper_bound);

  /// Changes the upper bound. A limit at the old upper bound moves to the new one.
  void SetUpperBound(base::SlotCount new_upper_bound);

  /// Updates the limit with the outcome of one call. `calls_in_flight` includes this call.
  void AddSample(const ResponseSample& sample, base::SlotCount calls_in_flight);

  /// Returns the learned limit in calls, from 1 to the upper bound.
  base::SlotCount Limit() const;

  /// Returns the upper bound in calls, at least 1.
  base::SlotCount UpperBound() const;

 private:
  void UpdateSlowdown(double slowdown);
  double Gradient() const;
  void SetLimit(double new_limit);

  double upper_bound;
  double limit;
  // Both are zero until the first sample.
  double average_slowdown = 0;
  double baseline_slowdown = 0;
};

}  // namespace sapphirecrank::limits
