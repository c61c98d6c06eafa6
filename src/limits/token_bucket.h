#pragma once

#include <cstdint>

#include "base/time.h"
#include "limits/units.h"

namespace sapphirecrank::limits {

/// Token bucket: bounds the rate of events and allows a burst after an idle period.
///
/// The level is kept in billionths of an event, so that a refill of any number of nanoseconds is
/// exact. Thread safety: none; the owner holds a lock.
class TokenBucket {
 public:
  /// Creates a full bucket. Rate and burst are clamped to 0 to 10^9.
  TokenBucket(EventsPerSecond rate, EventCount burst, base::TimePoint now);

  /// Takes `count` events and returns true, or takes nothing and returns false if the level is too
  /// low. A clock that goes back refills nothing.
  bool TryTake(base::TimePoint now, EventCount count);

  /// Returns the time from `now` until `count` events can be taken if no others are taken before;
  /// the largest duration if they never can.
  base::Duration TimeUntilAvailable(base::TimePoint now, EventCount count) const;

  /// Changes rate and burst. Events that were taken and not yet refilled still count.
  void SetLimits(EventsPerSecond new_rate, EventCount new_burst, base::TimePoint now);

  /// Returns whether the bucket is full at `now`, so that a new bucket would be equivalent.
  bool IsFull(base::TimePoint now) const;

  /// Returns the maximum number of events that can be taken at once.
  EventCount BurstSize() const;

 private:
  int64_t LevelBillionthsAt(base::TimePoint now) const;
  void Refill(base::TimePoint now);

  // Events per second, which is numerically equal to billionths of an event per nanosecond.
  int64_t events_per_second;
  int64_t capacity_billionths;
  int64_t level_billionths;
  base::TimePoint refilled_at;
};

}  // namespace sapphirecrank::limits
