#include "limits/team_quota.h"

#include <algorithm>
#include <utility>

#include "base/mutex_lock.h"

namespace sapphirecrank::limits {

using base::ErrorCode;
using base::TaskCount;
using base::TeamId;
using base::TimePoint;
using base::Version;
using base::Weight;

namespace {

constexpr size_t kShardCount = 16;

tl::unexpected<Refusal> MakeUnknownTeamRefusal(const TeamId& team) {
  return MakeRefusal(ErrorCode::kNotFound, "unknown team '" + team.value() + "'", "team");
}

}  // namespace

TeamQuota::TeamQuota(Hooks hooks) : hooks(std::move(hooks)), shards(kShardCount) {}

bool TeamQuota::ReplaceLimits(Version new_version, const LimitsByTeam& limits) {
  const TimePoint now = this->hooks.now();
  base::MutexLock lock(this->replace_mutex);
  if (new_version <= this->limits_version) {
    return false;
  }
  this->limits_version = new_version;
  for (const auto& [team, team_limits] : limits) {
    this->shards.WithShard(team, [&, &team = team, &team_limits = team_limits](Shard& shard) {
      SetTeamLimits(shard, team, team_limits, now);
    });
  }
  this->shards.ForEachShard([&limits](Shard& shard) { RemoveMissingTeams(shard, limits); });
  return true;
}

Admission TeamQuota::Admit(const TeamId& team, TaskCount task_count) {
  if (task_count <= TaskCount(0)) {
    return MakeRefusal(ErrorCode::kInvalidArgument, "the number of tasks must be at least 1",
                       "tasks");
  }
  return this->shards.WithShard(team, [&](Shard& shard) -> Admission {
    TeamState* team_state = FindConfiguredTeam(shard, team);
    if (team_state == nullptr) {
      return MakeUnknownTeamRefusal(team);
    }
    if (task_count > team_state->limits.unfinished_tasks) {
      return MakeRefusal(ErrorCode::kTooLarge,
                         "the number of tasks exceeds the team's limit of unfinished tasks",
                         "tasks");
    }
    const TaskCount excess_tasks =
        team_state->unfinished_tasks + task_count - team_state->limits.unfinished_tasks;
    if (excess_tasks > TaskCount(0)) {
      return MakeRefusal(ErrorCode::kOverloaded, "the team's limit of unfinished tasks is reached",
                         "team",
                         team_state->drain_time_estimator.TimeUntilDepartures(excess_tasks));
    }
    team_state->unfinished_tasks += task_count;
    return {};
  });
}

void TeamQuota::UndoAdmit(const TeamId& team, TaskCount task_count) {
  this->shards.WithShard(
      team, [&](Shard& shard) { SubtractUnfinished(shard, team, task_count, std::nullopt); });
}

void TeamQuota::ReleaseTasks(const TeamId& team, TaskCount task_count) {
  const TimePoint now = this->hooks.now();
  this->shards.WithShard(team,
                         [&](Shard& shard) { SubtractUnfinished(shard, team, task_count, now); });
}

Admission TeamQuota::TryStartTasks(const TeamId& team, EventCount task_count) {
  if (task_count <= EventCount(0)) {
    return MakeRefusal(ErrorCode::kInvalidArgument, "the number of tasks must be at least 1",
                       "tasks");
  }
  const TimePoint now = this->hooks.now();
  return this->shards.WithShard(team, [&](Shard& shard) -> Admission {
    TeamState* team_state = FindConfiguredTeam(shard, team);
    if (team_state == nullptr) {
      return MakeUnknownTeamRefusal(team);
    }
    if (task_count > team_state->start_bucket.BurstSize()) {
      return MakeRefusal(ErrorCode::kTooLarge,
                         "the number of tasks exceeds the team's burst of task starts", "tasks");
    }
    if (!team_state->start_bucket.TryTake(now, task_count)) {
      return MakeRefusal(ErrorCode::kOverloaded, "the team's limit of task starts is reached",
                         "team", team_state->start_bucket.TimeUntilAvailable(now, task_count));
    }
    return {};
  });
}

TaskCount TeamQuota::UnfinishedTasks(const TeamId& team) {
  return this->shards.WithShard(team, [&](Shard& shard) {
    auto found = shard.find(team);
    return found == shard.end() ? TaskCount(0) : found->second.unfinished_tasks;
  });
}

base::Result<Weight> TeamQuota::WeightOf(const TeamId& team) {
  return this->shards.WithShard(team, [&](Shard& shard) -> base::Result<Weight> {
    const TeamState* team_state = FindConfiguredTeam(shard, team);
    if (team_state == nullptr) {
      return tl::make_unexpected(MakeUnknownTeamRefusal(team).value().error);
    }
    return team_state->limits.weight;
  });
}

TeamQuota::TeamState* TeamQuota::FindConfiguredTeam(Shard& shard, const TeamId& team) {
  auto found = shard.find(team);
  return found == shard.end() || !found->second.is_configured ? nullptr : &found->second;
}

void TeamQuota::SubtractUnfinished(Shard& shard, const TeamId& team, TaskCount task_count,
                                   std::optional<TimePoint> ended_at) {
  auto found = shard.find(team);
  if (found == shard.end() || task_count <= TaskCount(0)) {
    return;
  }
  TeamState& state = found->second;
  state.unfinished_tasks -= std::min(task_count, state.unfinished_tasks);
  if (ended_at) {
    state.drain_time_estimator.OnDepartures(*ended_at, task_count);
  }
  if (!state.is_configured && state.unfinished_tasks == TaskCount(0)) {
    shard.erase(found);
  }
}

void TeamQuota::SetTeamLimits(Shard& shard, const TeamId& team, const TeamLimits& limits,
                              TimePoint now) {
  auto found = shard.find(team);
  if (found == shard.end()) {
    TokenBucket start_bucket(limits.start_rate, limits.start_burst, now);
    shard.emplace(team, TeamState{limits, true, TaskCount(0), start_bucket, DrainTimeEstimator()});
    return;
  }
  found->second.limits = limits;
  found->second.is_configured = true;
  found->second.start_bucket.SetLimits(limits.start_rate, limits.start_burst, now);
}

void TeamQuota::RemoveMissingTeams(Shard& shard, const LimitsByTeam& limits) {
  for (auto team = shard.begin(); team != shard.end();) {
    const bool is_missing = limits.count(team->first) == 0;
    team->second.is_configured = !is_missing;
    const bool is_unused = team->second.unfinished_tasks == TaskCount(0);
    team = is_missing && is_unused ? shard.erase(team) : std::next(team);
  }
}

}  // namespace sapphirecrank::limits
