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

Admission TeamQuota::Admit(const TeamId& team, TaskCount tasks) {
  if (tasks <= TaskCount(0)) {
    return MakeRefusal(ErrorCode::kInvalidArgument, "at least one task is needed", "tasks");
  }
  return this->shards.WithShard(team, [&](Shard& shard) -> Admission {
    TeamState* found = FindConfiguredTeam(shard, team);
    if (found == nullptr) {
      return MakeUnknownTeamRefusal(team);
    }
    if (tasks > found->limits.unfinished_tasks) {
      return MakeRefusal(ErrorCode::kTooLarge, "more tasks than the team may have unfinished",
                         "tasks");
    }
    const TaskCount excess = found->unfinished_tasks + tasks - found->limits.unfinished_tasks;
    if (excess > TaskCount(0)) {
      return MakeRefusal(ErrorCode::kOverloaded, "the team's limit of unfinished tasks is reached",
                         "team", found->drain_time_estimator.TimeUntilEnded(excess));
    }
    found->unfinished_tasks += tasks;
    return {};
  });
}

void TeamQuota::UndoAdmit(const TeamId& team, TaskCount tasks) {
  this->shards.WithShard(
      team, [&](Shard& shard) { SubtractUnfinished(shard, team, tasks, std::nullopt); });
}

void TeamQuota::ReleaseTasks(const TeamId& team, TaskCount tasks) {
  const TimePoint now = this->hooks.now();
  this->shards.WithShard(team, [&](Shard& shard) { SubtractUnfinished(shard, team, tasks, now); });
}

Admission TeamQuota::TryStartTasks(const TeamId& team, EventCount tasks) {
  if (tasks <= EventCount(0)) {
    return MakeRefusal(ErrorCode::kInvalidArgument, "at least one task is needed", "tasks");
  }
  const TimePoint now = this->hooks.now();
  return this->shards.WithShard(team, [&](Shard& shard) -> Admission {
    TeamState* found = FindConfiguredTeam(shard, team);
    if (found == nullptr) {
      return MakeUnknownTeamRefusal(team);
    }
    if (tasks > found->start_bucket.BurstSize()) {
      return MakeRefusal(ErrorCode::kTooLarge, "more tasks than the team may start at once",
                         "tasks");
    }
    if (!found->start_bucket.TryTake(now, tasks)) {
      return MakeRefusal(ErrorCode::kOverloaded, "the team's limit of task starts is reached",
                         "team", found->start_bucket.TimeUntilAvailable(now, tasks));
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
    const TeamState* found = FindConfiguredTeam(shard, team);
    if (found == nullptr) {
      return tl::make_unexpected(MakeUnknownTeamRefusal(team).value().error);
    }
    return found->limits.weight;
  });
}

TeamQuota::TeamState* TeamQuota::FindConfiguredTeam(Shard& shard, const TeamId& team) {
  auto found = shard.find(team);
  return found == shard.end() || !found->second.is_configured ? nullptr : &found->second;
}

void TeamQuota::SubtractUnfinished(Shard& shard, const TeamId& team, TaskCount tasks,
                                   std::optional<TimePoint> ended_at) {
  auto found = shard.find(team);
  if (found == shard.end() || tasks <= TaskCount(0)) {
    return;
  }
  TeamState& state = found->second;
  state.unfinished_tasks -= std::min(tasks, state.unfinished_tasks);
  if (ended_at) {
    state.drain_time_estimator.OnTasksEnded(*ended_at, tasks);
  }
  if (!state.is_configured && state.unfinished_tasks == TaskCount(0)) {
    shard.erase(found);
  }
}

void TeamQuota::SetTeamLimits(Shard& shard, const TeamId& team, const TeamLimits& limits,
                              TimePoint now) {
  auto found = shard.find(team);
  if (found == shard.end()) {
    TokenBucket starts(limits.start_rate, limits.start_burst, now);
    shard.emplace(team, TeamState{limits, true, TaskCount(0), starts, DrainTimeEstimator()});
    return;
  }
  found->second.limits = limits;
  found->second.is_configured = true;
  found->second.start_bucket.SetLimits(limits.start_rate, limits.start_burst, now);
}

void TeamQuota::RemoveMissingTeams(Shard& shard, const LimitsByTeam& limits) {
  for (auto team = shard.begin(); team != shard.end();) {
    const bool missing = limits.count(team->first) == 0;
    team->second.is_configured = !missing;
    const bool unused = team->second.unfinished_tasks == TaskCount(0);
    team = missing && unused ? shard.erase(team) : std::next(team);
  }
}

}  // namespace sapphirecrank::limits
