#pragma once

#include "base/time.h"
#include "limits/sliding_window_counter.h"
#include "limits/units.h"

namespace sapphirecrank::limits {

/// Bounds extra messages to a share of the real work of a sliding window, plus a small minimum.
///
/// Thread safety: none; the owner holds a lock.
class ProportionalBudget {
 public:
  struct Settings {
    Percent share;
    /// Extra messages of a window that are allowed without any work.
    EventCount minimum_extra_messages;
    base::Duration window = std::chrono::seconds(10);
  };

  /// Creates a budget that has seen no work.
  explicit ProportionalBudget(const Settings& settings);

  /// Records real work, which is first attempts only.
  void OnFirstAttempts(base::TimePoint now, EventCount count);

  /// Tells whether one more extra message is within the budget.
  bool HasRemaining(base::TimePoint now);

  /// Counts one extra message if it is within the budget, and tells whether it is.
  bool TryTake(base::TimePoint now);

 private:
  Settings settings;
  SlidingWindowCounter first_attempts;
  SlidingWindowCounter extra_messages;
};

}  // namespace sapphirecrank::limits
