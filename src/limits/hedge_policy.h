#pragma once

#include <cstddef>
#include <functional>
#include <optional>
#include <unordered_map>

#include "base/ids.h"
#include "base/sharded.h"
#include "base/time.h"
#include "limits/automatic_actions.h"
#include "limits/bounded_lru_map.h"
#include "limits/hedge_counters.h"
#include "limits/hedge_request.h"
#include "limits/proportional_budget.h"
#include "limits/quantile_estimator.h"
#include "limits/units.h"

namespace sapphirecrank::limits {

/// Decides whether and when to hedge an idempotent request in flight. A hedge is a second copy of
/// the request on another target.
///
/// Each team has its own budget without a minimum, so that the hedges of all teams together stay
/// within the same share of the work. Each team that is passed to a method takes memory, so all of
/// them must be configured. Sharded by team. Thread safety: all methods may be called from any
/// thread.
class HedgePolicy {
 public:
  struct Settings {
    /// A hedge is due when a request takes longer than this quantile of the response times of its
    /// kind.
    Percent delay_quantile{95};
    ProportionalBudget::Settings budget_settings{Percent(2), EventCount(0)};
    /// Maximum number of task kinds in memory for each team; the least recently used is evicted.
    size_t maximum_kinds_per_team = 64;
  };

  /// Callbacks of the policy; all must be set.
  struct Hooks {
    /// Current time.
    base::Clock now;
    /// Returns the automatic actions that the preset in force allows; called with no lock held.
    std::function<AutomaticActions()> automatic_actions;
  };

  /// Creates a policy without any response times.
  HedgePolicy(const Settings& settings, Hooks hooks);

  /// Records the first attempt of a request or task of the team. Returns the delay after which to
  /// call `TryHedge`, or none if the request is not idempotent, its kind has too few samples, or
  /// the deadline comes first.
  std::optional<base::Duration> OnFirstAttempt(const HedgeRequest& request);

  /// Records the response time of a first attempt that was answered.
  void OnFirstResponse(const base::TeamId& team, const base::TaskKind& kind,
                       base::Duration response_time);

  /// Returns whether to send a hedge now, and takes it from the budget if so. Always false for a
  /// request that is not idempotent.
  bool TryHedge(const HedgeRequest& request);

  /// Returns the counts since the process started.
  HedgeCounters Counters();

 private:
  struct TeamState {
    ProportionalBudget budget;
    BoundedLruMap<base::TaskKind, QuantileEstimator> response_times_by_kind;
  };

  struct Shard {
    std::unordered_map<base::TeamId, TeamState> teams;
    HedgeCounters counters;
  };

  TeamState& FindOrAddTeam(Shard& shard, const base::TeamId& team) const;
  static bool TakeFromBudget(Shard& shard, ProportionalBudget& budget, bool is_hedging_enabled,
                             base::TimePoint now);

  Settings settings;
  Hooks hooks;
  base::Sharded<base::TeamId, Shard> shards;
};

}  // namespace sapphirecrank::limits
