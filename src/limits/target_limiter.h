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

/// Bounds the calls in flight to each target: by its slots and connections always, and by a learned
/// limit while the preset allows throttling.
///
/// Sharded by target; each event takes constant time. Thread safety: all methods may be called from
/// any thread.
class TargetLimiter {
 public:
  /// Behaviour handed in; all members must be set.
  struct Hooks {
    /// Returns the switches of the preset in force; called without a lock.
    std::function<AutomaticActions()> automatic_actions;
  };

  /// Creates a limiter that knows no target.
  explicit TargetLimiter(Hooks hooks);

  /// Adds a target or changes the bounds that it announces.
  void UpdateTarget(const base::TargetId& target, base::SlotCount slots,
                    base::ConnectionCount connections);

  /// Forgets a target, but keeps the count of its calls in flight until they end.
  void RemoveTarget(const base::TargetId& target);

  /// Counts one call in flight if the target is known and below its limit, and tells whether it
  /// did.
  bool TryAcquireCall(const base::TargetId& target);

  /// Ends a call and learns from it. Precondition: `TryAcquireCall` returned true for it; the count
  /// never falls below zero.
  void ReleaseCall(const base::TargetId& target, const ResponseSample& sample);

  /// Returns the limit in force, zero for an unknown target.
  base::SlotCount LimitOf(const base::TargetId& target);

  /// Returns the calls in flight, also to a target that was removed.
  base::SlotCount CallsInFlight(const base::TargetId& target);

  /// Returns the counts since the start.
  ThrottleCounters Counters();

 private:
  struct TargetState {
    AdaptiveLimit learned_limit;
    base::SlotCount calls_in_flight;
    // True between `Remove` and the end of the last call in flight.
    bool is_removed = false;
  };

  struct Shard {
    std::unordered_map<base::TargetId, TargetState> targets;
    ThrottleCounters counters;
  };

  static bool AcquireCall(Shard& shard, TargetState& target, bool throttling);

  Hooks hooks;
  base::Sharded<base::TargetId, Shard> shards;
};

}  // namespace sapphirecrank::limits
