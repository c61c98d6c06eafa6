#pragma once

#include <cstddef>
#include <optional>
#include <unordered_map>

#include "base/ids.h"
#include "base/mutex.h"
#include "base/result.h"
#include "base/sharded.h"
#include "base/time.h"
#include "base/units.h"
#include "limits/drain_time_estimator.h"
#include "limits/refusal.h"
#include "limits/team_limits.h"
#include "limits/token_bucket.h"

namespace sapphirecrank::limits {

/// Bounds each team's accepted-and-unfinished tasks and its task starts a second.
///
/// Sharded by team. Thread safety: all methods may be called from any thread.
class TeamQuota {
 public:
  using LimitsByTeam = std::unordered_map<base::TeamId, TeamLimits>;

  /// Behaviour handed in; all members must be set.
  struct Hooks {
    /// Current time.
    base::Clock now;
  };

  /// Creates a quota that knows no team.
  explicit TeamQuota(Hooks hooks);

  /// Puts the limits of configuration `new_version` in force and tells whether it did: a version
  /// that is not newer than the one in force changes nothing. Counts in use are kept, also those of
  /// a team that is missing from `limits` and may come back; such a team is refused as unknown.
  bool ReplaceLimits(base::Version new_version, const LimitsByTeam& limits) EXCLUDES(replace_mutex);

  /// Counts `tasks` as accepted, or refuses all of them and changes nothing. An unknown team and a
  /// number that the team can never hold are refused without a time to wait.
  Admission Admit(const base::TeamId& team, base::TaskCount tasks);

  /// Takes back an `Admit` whose tasks are refused for another reason.
  void UndoAdmit(const base::TeamId& team, base::TaskCount tasks);

  /// Ends accepted tasks. Precondition: they were admitted; the count never falls below zero.
  void ReleaseTasks(const base::TeamId& team, base::TaskCount tasks);

  /// Counts `tasks` task starts, or refuses all of them and changes nothing.
  Admission TryStartTasks(const base::TeamId& team, EventCount tasks);

  /// Returns the accepted and unfinished tasks, also of a team that is no longer known.
  base::TaskCount UnfinishedTasks(const base::TeamId& team);

  /// Returns the team's weight, or `kNotFound` for the field "team".
  base::Result<base::Weight> WeightOf(const base::TeamId& team);

 private:
  struct TeamState {
    TeamLimits limits;
    // False after the team left the configuration while it had unfinished tasks.
    bool is_configured = true;
    base::TaskCount unfinished_tasks;
    TokenBucket start_bucket;
    DrainTimeEstimator drain_time_estimator;
  };
  using Shard = std::unordered_map<base::TeamId, TeamState>;

  static TeamState* FindConfiguredTeam(Shard& shard, const base::TeamId& team);
  static void SubtractUnfinished(Shard& shard, const base::TeamId& team, base::TaskCount tasks,
                                 std::optional<base::TimePoint> ended_at);
  static void SetTeamLimits(Shard& shard, const base::TeamId& team, const TeamLimits& limits,
                            base::TimePoint now);
  static void RemoveMissingTeams(Shard& shard, const LimitsByTeam& limits);

  Hooks hooks;
  base::Sharded<base::TeamId, Shard> shards;
  // Held for a whole replacement, so that two versions never mix.
  base::Mutex replace_mutex;
  base::Version limits_version GUARDED_BY(replace_mutex);
};

}  // namespace sapphirecrank::limits
