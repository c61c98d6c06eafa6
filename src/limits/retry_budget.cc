#include "limits/retry_budget.h"

#include <utility>

namespace sapphirecrank::limits {

using base::TeamId;
using base::TimePoint;

namespace {
constexpr size_t kShardCount = 16;
}  // namespace

template <typename Function>
auto RetryBudget::WithBudget(const TeamId& team, Function&& function) {
  static const TeamId kSharedKey;
  const TeamId& key = this->settings.scope == Scope::kAllTeams ? kSharedKey : team;
  return this->shards.WithShard(key, [&](Shard& shard) {
    auto found = shard.try_emplace(key, this->settings.budget_settings).first;
    return function(found->second);
  });
}

RetryBudget::RetryBudget(const Settings& settings, Hooks hooks)
    : settings(settings), hooks(std::move(hooks)), shards(kShardCount) {}

void RetryBudget::OnFirstAttempts(const TeamId& team, EventCount count) {
  const TimePoint now = this->hooks.now();
  this->WithBudget(team, [&](ProportionalBudget& budget) { budget.OnFirstAttempts(now, count); });
}

bool RetryBudget::HasRemaining(const TeamId& team) {
  const TimePoint now = this->hooks.now();
  return this->WithBudget(team,
                          [&](ProportionalBudget& budget) { return budget.HasRemaining(now); });
}

bool RetryBudget::TryTake(const TeamId& team) {
  const TimePoint now = this->hooks.now();
  return this->WithBudget(team, [&](ProportionalBudget& budget) { return budget.TryTake(now); });
}

}  // namespace sapphirecrank::limits
