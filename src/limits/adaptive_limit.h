#pragma once

#include "base/units.h"
#include "limits/response_sample.h"

namespace sapphirecrank::limits {

/// Learns how many calls one target handles at once without slowing down.
///
/// The measure is the stretch, response time over the expected run time of that kind of work, so
/// that a mix of short and long kinds doesn't look like a slow target. The limit shrinks as the
/// average stretch grows beyond the smallest learned average, and by a fifth on each sign of
/// overload; otherwise it grows while it is in use. Each event takes constant time. Thread safety:
/// none; the owner holds a lock.
class AdaptiveLimit {
 public:
  /// Starts at `upper_bound`. A bound below one call counts as one.
  explicit AdaptiveLimit(base::SlotCount bound);

  /// Changes the upper bound. A limit that was at the old bound follows it.
  void SetUpperBound(base::SlotCount new_bound);

  /// Learns from one ended call; `in_flight` includes it.
  void AddSample(const ResponseSample& sample, base::SlotCount in_flight);

  /// Returns the learned limit, from 1 to the bound.
  base::SlotCount Limit() const;

  /// Returns the upper bound.
  base::SlotCount UpperBound() const;

 private:
  void UpdateSlowdown(double stretch);
  double Gradient() const;
  void SetLimit(double wanted);

  double upper_bound;
  double limit;
  // Zero until the first sample.
  double average_slowdown = 0;
  double baseline_slowdown = 0;
};

}  // namespace sapphirecrank::limits
