#include "limits/target_limiter.h"

#include <algorithm>
#include <utility>

namespace sapphirecrank::limits {

using base::ConnectionCount;
using base::SlotCount;
using base::TargetId;

namespace {
constexpr size_t kShardCount = 16;
constexpr SlotCount kOneCall{1};
}  // namespace

TargetLimiter::TargetLimiter(Hooks hooks) : hooks(std::move(hooks)), shards(kShardCount) {}

void TargetLimiter::UpdateTarget(const TargetId& target, SlotCount slots,
                                 ConnectionCount connections) {
  const SlotCount upper_bound = std::min(slots, SlotCount(connections.value()));
  this->shards.WithShard(target, [&](Shard& shard) {
    auto [found, added] =
        shard.targets.try_emplace(target, TargetState{AdaptiveLimit(upper_bound), {}});
    found->second.is_unavailable = upper_bound < kOneCall;
    if (!added) {
      found->second.learned_limit.SetUpperBound(upper_bound);
    }
  });
}

void TargetLimiter::RemoveTarget(const TargetId& target) {
  this->shards.WithShard(target, [&](Shard& shard) {
    auto found = shard.targets.find(target);
    if (found == shard.targets.end()) {
      return;
    }
    found->second.is_unavailable = true;
    if (found->second.calls_in_flight == SlotCount(0)) {
      shard.targets.erase(found);
    }
  });
}

bool TargetLimiter::TryAcquireCall(const TargetId& target) {
  const bool is_throttling_enabled = this->hooks.automatic_actions().throttling;
  return this->shards.WithShard(target, [&](Shard& shard) {
    auto found = shard.targets.find(target);
    if (found == shard.targets.end() || found->second.is_unavailable) {
      return false;
    }
    return AcquireCall(shard, found->second, is_throttling_enabled);
  });
}

void TargetLimiter::ReleaseCall(const TargetId& target, const ResponseSample& sample) {
  this->shards.WithShard(target, [&](Shard& shard) {
    auto found = shard.targets.find(target);
    if (found == shard.targets.end() || found->second.calls_in_flight == SlotCount(0)) {
      return;
    }
    TargetState& state = found->second;
    state.learned_limit.AddSample(sample, state.calls_in_flight);
    state.calls_in_flight -= kOneCall;
    if (state.is_unavailable && state.calls_in_flight == SlotCount(0)) {
      shard.targets.erase(found);
    }
  });
}

SlotCount TargetLimiter::LimitOf(const TargetId& target) {
  const bool is_throttling_enabled = this->hooks.automatic_actions().throttling;
  return this->shards.WithShard(target, [&](Shard& shard) {
    auto found = shard.targets.find(target);
    if (found == shard.targets.end() || found->second.is_unavailable) {
      return SlotCount(0);
    }
    const AdaptiveLimit& learned_limit = found->second.learned_limit;
    return is_throttling_enabled ? learned_limit.Limit() : learned_limit.UpperBound();
  });
}

SlotCount TargetLimiter::CallsInFlight(const TargetId& target) {
  return this->shards.WithShard(target, [&](Shard& shard) {
    auto found = shard.targets.find(target);
    return found == shard.targets.end() ? SlotCount(0) : found->second.calls_in_flight;
  });
}

ThrottleCounters TargetLimiter::Counters() {
  ThrottleCounters sum;
  this->shards.ForEachShard([&sum](const Shard& shard) {
    sum.at_capacity += shard.counters.at_capacity;
    sum.throttled += shard.counters.throttled;
    sum.would_have_throttled += shard.counters.would_have_throttled;
  });
  return sum;
}

bool TargetLimiter::AcquireCall(Shard& shard, TargetState& state, bool is_throttling_enabled) {
  if (state.calls_in_flight >= state.learned_limit.UpperBound()) {
    ++shard.counters.at_capacity;
    return false;
  }
  const bool is_above_learned_limit = state.calls_in_flight >= state.learned_limit.Limit();
  if (is_above_learned_limit && is_throttling_enabled) {
    ++shard.counters.throttled;
    return false;
  }
  if (is_above_learned_limit) {
    ++shard.counters.would_have_throttled;
  }
  state.calls_in_flight += kOneCall;
  return true;
}

}  // namespace sapphirecrank::limits
