#pragma once

#include <functional>
#include <unordered_map>

#include "base/ids.h"
#include "base/sharded.h"
#include "base/units.h"
#include "limits/adaptive_limit.h"
#include "limits/automatic_actions.h"
#include "limits/response_sample.h"
#include "limits/throttle_counters.h"

namespace sapphirecrank::limits {

/// Bounds the calls in flight to each target: always by its slots and connections, and by a learned
/// limit while the preset allows throttling.
///
/// Sharded by target. Each event takes constant time. Thread safety: all methods may be called from
/// any thread.
class TargetLimiter {
 public:
  /// Callbacks of the limiter; all must be set.
  struct Hooks {
    /// Returns the automatic actions that the preset in force allows; called with no lock held.
    std::function<AutomaticActions()> automatic_actions;
  };

  /// Creates a limiter without targets.
  explicit TargetLimiter(Hooks hooks);

  /// Adds a target or changes its announced slots and connections. A target without slots or
  /// without connections gets no calls.
  void UpdateTarget(const base::TargetId& target, base::SlotCount slots,
                    base::ConnectionCount connections);

  /// Removes a target. Its calls in flight are counted until they end.
  void RemoveTarget(const base::TargetId& target);

  /// Counts one call in flight if the target is known and below its limit, and returns whether it
  /// was counted.
  bool TryAcquireCall(const base::TargetId& target);

  /// Ends a call and updates the learned limit. Precondition: `TryAcquireCall` returned true for
  /// the call. The count never falls below zero.
  void ReleaseCall(const base::TargetId& target, const ResponseSample& sample);

  /// Returns the limit that is in force, in calls; zero if the target is unknown or gets no calls.
  base::SlotCount LimitOf(const base::TargetId& target);

  /// Returns the number of calls in flight, also to a removed target.
  base::SlotCount CallsInFlight(const base::TargetId& target);

  /// Returns the counts since the process started.
  ThrottleCounters Counters();

 private:
  struct TargetState {
    AdaptiveLimit learned_limit;
    base::SlotCount calls_in_flight;
    // True while the target is announced without capacity, and from `RemoveTarget` to the end of
    // the last call in flight.
    bool is_unavailable = false;
  };

  struct Shard {
    std::unordered_map<base::TargetId, TargetState> targets;
    ThrottleCounters counters;
  };

  static bool AcquireCall(Shard& shard, TargetState& state, bool is_throttling_enabled);

  Hooks hooks;
  base::Sharded<base::TargetId, Shard> shards;
};

}  // namespace sapphirecrank::limits
