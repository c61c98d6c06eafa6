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
        const QuantileEstimator* learned =
            request.idempotent ? team.response_times_by_kind.Find(request.kind) : nullptr;
        return learned == nullptr ? std::nullopt : learned->Quantile(this->settings.delay_quantile);
      });
  const bool in_time = delay && now + *delay < request.deadline;
  return in_time ? delay : std::nullopt;
}

void HedgePolicy::OnFirstResponse(const TeamId& team, const TaskKind& kind, Duration elapsed) {
  this->shards.WithShard(team, [&](Shard& shard) {
    auto& kinds = this->FindOrAddTeam(shard, team).response_times_by_kind;
    QuantileEstimator* learned = kinds.Find(kind);
    if (learned == nullptr) {
      learned = kinds.Insert(kind, QuantileEstimator());
    }
    learned->AddSample(elapsed);
  });
}

bool HedgePolicy::TryHedge(const HedgeRequest& request) {
  const TimePoint now = this->hooks.now();
  if (!request.idempotent || now >= request.deadline) {
    return false;
  }
  const bool hedging = this->hooks.automatic_actions().hedging;
  return this->shards.WithShard(request.team, [&](Shard& shard) {
    return TakeFromBudget(shard, this->FindOrAddTeam(shard, request.team).budget, hedging, now);
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
    TeamState fresh{
        ProportionalBudget(this->settings.budget_settings),
        BoundedLruMap<TaskKind, QuantileEstimator>(this->settings.maximum_kinds_per_team)};
    found = shard.teams.emplace(team, std::move(fresh)).first;
  }
  return found->second;
}

bool HedgePolicy::TakeFromBudget(Shard& shard, ProportionalBudget& budget, bool hedging,
                                 TimePoint now) {
  if (!budget.HasRemaining(now)) {
    ++shard.counters.denied_by_budget;
    return false;
  }
  if (!hedging) {
    ++shard.counters.would_have_sent;
    return false;
  }
  ++shard.counters.sent;
  return budget.TryTake(now);
}

}  // namespace sapphirecrank::limits
