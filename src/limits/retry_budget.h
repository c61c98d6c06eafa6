#pragma once

#include <unordered_map>

#include "base/ids.h"
#include "base/sharded.h"
#include "base/time.h"
#include "limits/proportional_budget.h"
#include "limits/units.h"

namespace sapphirecrank::limits {

/// Bounds retries to a share of first attempts, for each team separately or for all teams together.
///
/// Each team that is passed to a method takes memory, so all of them must be configured. Sharded by
/// team. Thread safety: all methods may be called from any thread.
class RetryBudget {
 public:
  /// Whether each team has its own budget or all teams share one.
  enum class Scope { kEachTeam, kAllTeams };

  struct Settings {
    Scope scope = Scope::kEachTeam;
    ProportionalBudget::Settings budget_settings{Percent(10), EventCount(3)};
  };

  /// Callbacks of the budget; all must be set.
  struct Hooks {
    /// Current time.
    base::Clock now;
  };

  /// Creates a budget with no first attempts recorded.
  RetryBudget(const Settings& settings, Hooks hooks);

  /// Records first attempts of a team.
  void OnFirstAttempts(const base::TeamId& team, EventCount count);

  /// Returns whether one more retry of the team is within the budget.
  bool HasRemaining(const base::TeamId& team);

  /// Counts one retry if it is within the budget, and returns whether it is.
  bool TryTake(const base::TeamId& team);

 private:
  using Shard = std::unordered_map<base::TeamId, ProportionalBudget>;

  template <typename Function>
  auto WithBudget(const base::TeamId& team, Function&& function);

  Settings settings;
  Hooks hooks;
  base::Sharded<base::TeamId, Shard> shards;
};

}  // namespace sapphirecrank::limits
