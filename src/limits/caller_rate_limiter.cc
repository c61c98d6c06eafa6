#include "limits/caller_rate_limiter.h"

#include <algorithm>
#include <utility>

namespace sapphirecrank::limits {

using base::ErrorCode;
using base::TimePoint;

namespace {
constexpr size_t kShardCount = 16;
constexpr EventCount kOneRequest{1};
}  // namespace

CallerRateLimiter::CallerRateLimiter(const Settings& settings, Hooks hooks)
    : settings(settings), hooks(std::move(hooks)), shards(kShardCount) {
  const size_t addresses_per_shard = std::max<size_t>(1, settings.maximum_addresses / kShardCount);
  const TimePoint now = this->hooks.now();
  this->shards.ForEachShard([&](Shard& shard) {
    shard.buckets_by_caller.emplace(addresses_per_shard);
    shard.overflow_bucket.emplace(settings.rate, settings.burst, now);
  });
}

Admission CallerRateLimiter::Admit(const CallerAddress& caller) {
  const TimePoint now = this->hooks.now();
  return this->shards.WithShard(caller, [&](Shard& shard) -> Admission {
    TokenBucket& bucket = this->FindOrAddBucket(shard, caller, now);
    if (!bucket.TryTake(now, kOneRequest)) {
      return MakeRefusal(ErrorCode::kOverloaded,
                         "the request rate limit of the caller's address is reached", "",
                         bucket.TimeUntilAvailable(now, kOneRequest));
    }
    return {};
  });
}

size_t CallerRateLimiter::AddressCount() {
  size_t count = 0;
  this->shards.ForEachShard([&count](Shard& shard) { count += shard.buckets_by_caller->size(); });
  return count;
}

TokenBucket& CallerRateLimiter::FindOrAddBucket(Shard& shard, const CallerAddress& caller,
                                                TimePoint now) const {
  TokenBucket* existing_bucket = shard.buckets_by_caller->Find(caller);
  if (existing_bucket != nullptr) {
    return *existing_bucket;
  }
  if (shard.buckets_by_caller->IsFull() &&
      !shard.buckets_by_caller->LeastRecentlyUsed().IsFull(now)) {
    return *shard.overflow_bucket;
  }
  return *shard.buckets_by_caller->Insert(
      caller, TokenBucket(this->settings.rate, this->settings.burst, now));
}

}  // namespace sapphirecrank::limits
