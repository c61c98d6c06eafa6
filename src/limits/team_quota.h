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

/// Bounds the unfinished tasks of each team and its rate of task starts. A task is unfinished from
/// its admission to its end.
///
/// Sharded by team. Thread safety: all methods may be called from any thread.
class TeamQuota {
 public:
  using LimitsByTeam = std::unordered_map<base::TeamId, TeamLimits>;

  /// Callbacks of the quota; all must be set.
  struct Hooks {
    /// Current time.
    base::Clock now;
  };

  /// Creates a quota without teams.
  explicit TeamQuota(Hooks hooks);

  /// Puts the limits of configuration `new_version` in force and returns true. Changes nothing and
  /// returns false if a version at least as new is in force. Counts of unfinished tasks are kept,
  /// also those of a team that is missing from `limits` and may be added again. Such a team is
  /// refused as unknown.
  bool ReplaceLimits(base::Version new_version, const LimitsByTeam& limits) EXCLUDES(replace_mutex);

  /// Counts `task_count` tasks as unfinished, or refuses all of them and changes nothing. Errors:
  /// `kNotFound` for an unknown team, `kInvalidArgument` for a number of tasks below 1, `kTooLarge`
  /// for one above the team's limit, `kOverloaded` with `retry_after` if the limit is reached.
  Admission Admit(const base::TeamId& team, base::TaskCount task_count);

  /// Reverts an `Admit` whose tasks are then refused for another reason.
  void UndoAdmit(const base::TeamId& team, base::TaskCount task_count);

  /// Removes admitted tasks that have ended. Precondition: they were admitted. The count never
  /// falls below zero.
  void ReleaseTasks(const base::TeamId& team, base::TaskCount task_count);

  /// Counts `task_count` task starts, or refuses all of them and changes nothing. Errors: as for
  /// `Admit`, with the burst as the limit for `kTooLarge` and the rate as that for `kOverloaded`.
  Admission TryStartTasks(const base::TeamId& team, EventCount task_count);

  /// Returns the number of unfinished tasks, also of a team that is no longer configured.
  base::TaskCount UnfinishedTasks(const base::TeamId& team);

  /// Returns the weight of the team, or the error `kNotFound` with the field "team".
  base::Result<base::Weight> WeightOf(const base::TeamId& team);

 private:
  struct TeamState {
    TeamLimits limits;
    // False if the team was removed from the configuration while it had unfinished tasks.
    bool is_configured = true;
    base::TaskCount unfinished_tasks;
    TokenBucket start_bucket;
    DrainTimeEstimator drain_time_estimator;
  };
  using Shard = std::unordered_map<base::TeamId, TeamState>;

  static TeamState* FindConfiguredTeam(Shard& shard, const base::TeamId& team);
  static void SubtractUnfinished(Shard& shard, const base::TeamId& team, base::TaskCount task_count,
                                 std::optional<base::TimePoint> ended_at);
  static void SetTeamLimits(Shard& shard, const base::TeamId& team, const TeamLimits& limits,
                            base::TimePoint now);
  static void RemoveMissingTeams(Shard& shard, const LimitsByTeam& limits);

  Hooks hooks;
  base::Sharded<base::TeamId, Shard> shards;
  // Held during the whole of `ReplaceLimits`, so that the limits of two versions never mix.
  base::Mutex replace_mutex;
  base::Version limits_version GUARDED_BY(replace_mutex);
};

}  // namespace sapphirecrank::limits
