#pragma once

#include <array>
#include <cstdint>

#include "base/time.h"
#include "limits/units.h"

namespace sapphirecrank::limits {

/// Counts the events within a sliding window, which moves in steps of a tenth of its length.
///
/// Thread safety: none; the owner holds a lock.
class SlidingWindowCounter {
 public:
  /// Creates a counter without events. Precondition: `window` is at least 10 ns.
  explicit SlidingWindowCounter(base::Duration window);

  /// Adds `count` events at `now`. If the clock went back, they are added to the newest step.
  void Add(base::TimePoint now, EventCount count);

  /// Returns the number of events within the window that ends at `now`.
  EventCount Sum(base::TimePoint now);

 private:
  static constexpr int64_t kStepCount = 10;

  void AdvanceTo(base::TimePoint now);

  base::Duration step_length;
  int64_t current_step = 0;
  std::array<EventCount, kStepCount> step_counts{};
  EventCount window_sum;
};

}  // namespace sapphirecrank::limits
