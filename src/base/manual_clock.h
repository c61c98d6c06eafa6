#pragma once

#include <atomic>

#include "base/time.h"

namespace sapphirecrank::base {

/// A clock that stands still until it is advanced, for tests and benchmarks.
///
/// Thread safety: all methods may be called from any thread.
class ManualClock {
 public:
  /// Returns the current time.
  TimePoint Now() const { return TimePoint(Duration(this->nanoseconds.load())); }

  /// Moves the clock by `step`; a negative step simulates a clock that jumps back.
  void Advance(Duration step) { this->nanoseconds += step.count(); }

  /// Returns a clock hook. Precondition: this object outlives the hook.
  Clock AsClock() const {
    return [this] { return this->Now(); };
  }

 private:
  // Starts at 1 h, so that the time stays positive when a timeout is subtracted from it.
  std::atomic<Duration::rep> nanoseconds{Duration(std::chrono::hours(1)).count()};
};

}  // namespace sapphirecrank::base
