#pragma once

#include <array>
#include <cstdint>

#include "base/time.h"
#include "limits/units.h"

namespace sapphirecrank::limits {

/// Counts the events of a sliding window, which moves in steps of a tenth of its length.
///
/// Thread safety: none; the owner holds a lock.
class SlidingWindowCounter {
 public:
  /// Creates a counter of zero. Precondition: `window` is at least 10 ns.
  explicit SlidingWindowCounter(base::Duration window);

  /// Adds `count` events at `now`. A clock that goes back adds them to the newest step.
  void Add(base::TimePoint now, EventCount count);

  /// Returns the events of the window that ends at `now`.
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
