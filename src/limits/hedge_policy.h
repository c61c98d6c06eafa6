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

/// Decides whether and when an idempotent request in flight gets a second copy on another target.
///
/// The budget is kept for each team and has no minimum, so that the copies of all teams together
/// stay within the share too. Sharded by team. Thread safety: all methods may be called from any
/// thread.
class HedgePolicy {
 public:
  struct Settings {
    /// A copy is due when the request takes longer than this part of its kind.
    Percent delay_quantile{95};
    ProportionalBudget::Settings budget_settings{Percent(2), EventCount(0)};
    /// Kinds remembered for each team; the one unused for longest is forgotten first.
    size_t maximum_kinds_per_team = 64;
  };

  /// Behaviour handed in; all members must be set.
  struct Hooks {
    /// Current time.
    base::Clock now;
    /// Returns the switches of the preset in force; called without a lock.
    std::function<AutomaticActions()> automatic_actions;
  };

  /// Creates a policy that has learned nothing.
  HedgePolicy(const Settings& settings, Hooks hooks);

  /// Records the first copy of any request or task of the team and returns after which delay to ask
  /// `TryHedge`; none if the request is not idempotent, its kind is not known well enough, or the
  /// deadline comes first. Precondition: the team is known, because each team seen takes memory.
  std::optional<base::Duration> OnFirstAttempt(const HedgeRequest& request);

  /// Learns from the response time of a first copy that was answered.
  void OnFirstResponse(const base::TeamId& team, const base::TaskKind& kind,
                       base::Duration elapsed);

  /// Tells whether to send the second copy now, and takes it from the budget if so. Never true for
  /// a request that is not idempotent.
  bool TryHedge(const HedgeRequest& request);

  /// Returns the counts since the start.
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
  static bool TakeFromBudget(Shard& shard, ProportionalBudget& budget, bool hedging,
                             base::TimePoint now);

  Settings settings;
  Hooks hooks;
  base::Sharded<base::TeamId, Shard> shards;
};

}  // namespace sapphirecrank::limits
