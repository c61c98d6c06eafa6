#include "limits/hedge_policy.h"

#include <utility>

namespace sapphirecrank::limits {

using base::Duration;
using base::TaskKind;
using base::TeamId;
using base::TimePoint;

namespace {
constexpr size_t kShardCount = 16;
}  // namespace

HedgePolicy::HedgePolicy(const Settings& settings, Hooks hooks)
    : settings(settings), hooks(std::move(hooks)), shards(kShardCount) {}

std::optional<Duration> HedgePolicy::OnFirstAttempt(const HedgeRequest& request) {
  const TimePoint now = this->hooks.now();
  const std::optional<Duration> delay =
      this->shards.WithShard(request.team, [&](Shard& shard) -> std::optional<Duration> {
        TeamState& team = this->FindOrAddTeam(shard, request.team);
        team.budget.OnFirstAttempts(now, EventCount(1));
        const QuantileEstimator* estimator =
            request.idempotent ? team.response_times_by_kind.Find(request.kind) : nullptr;
        return estimator == nullptr ? std::nullopt
                                    : estimator->Quantile(this->settings.delay_quantile);
      });
  const bool is_before_deadline = delay && now + *delay < request.deadline;
  return is_before_deadline ? delay : std::nullopt;
}

void HedgePolicy::OnFirstResponse(const TeamId& team, const TaskKind& kind,
                                  Duration response_time) {
  this->shards.WithShard(team, [&](Shard& shard) {
    auto& response_times = this->FindOrAddTeam(shard, team).response_times_by_kind;
    QuantileEstimator* estimator = response_times.Find(kind);
    if (estimator == nullptr) {
      estimator = response_times.Insert(kind, QuantileEstimator());
    }
    estimator->AddSample(response_time);
  });
}

bool HedgePolicy::TryHedge(const HedgeRequest& request) {
  const TimePoint now = this->hooks.now();
  if (!request.idempotent || now >= request.deadline) {
    return false;
  }
  const bool is_hedging_enabled = this->hooks.automatic_actions().hedging;
  return this->shards.WithShard(request.team, [&](Shard& shard) {
    return TakeFromBudget(shard, this->FindOrAddTeam(shard, request.team).budget,
                          is_hedging_enabled, now);
  });
}

HedgeCounters HedgePolicy::Counters() {
  HedgeCounters sum;
  this->shards.ForEachShard([&sum](const Shard& shard) {
    sum.sent += shard.counters.sent;
    sum.denied_by_budget += shard.counters.denied_by_budget;
    sum.would_have_sent += shard.counters.would_have_sent;
  });
  return sum;
}

HedgePolicy::TeamState& HedgePolicy::FindOrAddTeam(Shard& shard, const TeamId& team) const {
  auto found = shard.teams.find(team);
  if (found == shard.teams.end()) {
    TeamState new_team{
        ProportionalBudget(this->settings.budget_settings),
        BoundedLruMap<TaskKind, QuantileEstimator>(this->settings.maximum_kinds_per_team)};
    found = shard.teams.emplace(team, std::move(new_team)).first;
  }
  return found->second;
}

bool HedgePolicy::TakeFromBudget(Shard& shard, ProportionalBudget& budget, bool is_hedging_enabled,
                                 TimePoint now) {
  if (!budget.HasRemaining(now)) {
    ++shard.counters.denied_by_budget;
    return false;
  }
  if (!is_hedging_enabled) {
    ++shard.counters.would_have_sent;
    return false;
  }
  ++shard.counters.sent;
  return budget.TryTake(now);
}

}  // namespace sapphirecrank::limits
