#pragma once

#include <cstdint>

#include "base/time.h"
#include "limits/units.h"

namespace sapphirecrank::limits {

/// Bounds a rate of events and lets a burst pass after a quiet time.
///
/// The level is kept in billionths of an event, so that a refill of any number of nanoseconds is
/// exact. Thread safety: none; the owner holds a lock.
class TokenBucket {
 public:
  /// Creates a full bucket. Rates and bursts outside of 0 to 10^9 are clamped to it.
  TokenBucket(EventsPerSecond rate, EventCount burst, base::TimePoint now);

  /// Takes `count` events or nothing, and tells which. A clock that goes back refills nothing.
  bool TryTake(base::TimePoint now, EventCount count);

  /// Returns how long after `now` `count` events could be taken if nobody else took any; the
  /// largest duration if never.
  base::Duration TimeUntilAvailable(base::TimePoint now, EventCount count) const;

  /// Changes rate and burst and keeps what has been taken.
  void SetLimits(EventsPerSecond new_rate, EventCount new_burst, base::TimePoint now);

  /// Tells whether nothing that was taken still counts, so that a new bucket would do as well.
  bool IsFull(base::TimePoint now) const;

  /// Returns the largest number of events that can be taken at once.
  EventCount BurstSize() const;

 private:
  int64_t LevelBillionthsAt(base::TimePoint now) const;
  void Refill(base::TimePoint now);

  // Events a second, which is the same as billionths of an event a nanosecond.
  int64_t events_per_second;
  int64_t capacity_billionths;
  int64_t level_billionths;
  base::TimePoint refilled_at;
};

}  // namespace sapphirecrank::limits
