#pragma once

#include "base/time.h"
#include "limits/sliding_window_counter.h"
#include "limits/units.h"

namespace sapphirecrank::limits {

/// Bounds extra messages (retries or hedges) to a share of the first attempts within a sliding
/// window, plus a minimum.
///
/// Thread safety: none; the owner holds a lock.
class ProportionalBudget {
 public:
  struct Settings {
    Percent share;
    /// Extra messages in each window that are allowed in addition to the share.
    EventCount minimum_extra_messages;
    base::Duration window = std::chrono::seconds(10);
  };

  /// Creates a budget with no first attempts recorded.
  explicit ProportionalBudget(const Settings& settings);

  /// Records `count` first attempts. Extra messages must not be recorded here.
  void OnFirstAttempts(base::TimePoint now, EventCount count);

  /// Returns whether one more extra message is within the budget.
  bool HasRemaining(base::TimePoint now);

  /// Counts one extra message if it is within the budget, and returns whether it is.
  bool TryTake(base::TimePoint now);

 private:
  Settings settings;
  SlidingWindowCounter first_attempts;
  SlidingWindowCounter extra_messages;
};

}  // namespace sapphirecrank::limits
