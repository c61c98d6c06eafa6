#pragma once

#include <cstddef>
#include <optional>

#include "base/sharded.h"
#include "base/time.h"
#include "limits/bounded_lru_map.h"
#include "limits/caller_address.h"
#include "limits/refusal.h"
#include "limits/token_bucket.h"
#include "limits/units.h"

namespace sapphirecrank::limits {

/// Bounds the requests a second of each caller's address, so that one caller can't starve others.
///
/// Memory is bounded by the number of addresses. When a shard is full, the address that has been
/// idle the longest makes room once its bucket is full again, so that no address gets a new burst
/// by being evicted. While none is idle, new addresses share one bucket for each shard. Thread
/// safety: all methods may be called from any thread.
class CallerRateLimiter {
 public:
  struct Settings {
    EventsPerSecond rate;
    EventCount burst;
    /// Addresses kept in memory, rounded down to a multiple of 16 but at least 16.
    size_t maximum_addresses = 65536;
  };

  /// Behaviour handed in; all members must be set.
  struct Hooks {
    /// Current time.
    base::Clock now;
  };

  /// Creates a limiter that has seen no caller.
  CallerRateLimiter(const Settings& settings, Hooks hooks);

  /// Counts one request of `caller`, or refuses it and says how long to wait.
  Admission Admit(const CallerAddress& caller);

  /// Returns the number of addresses in memory.
  size_t AddressCount();

 private:
  struct Shard {
    // Set by the constructor of the limiter, because a shard is default-constructed.
    std::optional<BoundedLruMap<CallerAddress, TokenBucket>> buckets_by_caller;
    std::optional<TokenBucket> overflow_bucket;
  };

  TokenBucket& FindOrAddBucket(Shard& shard, const CallerAddress& caller,
                               base::TimePoint now) const;

  Settings settings;
  Hooks hooks;
  base::Sharded<CallerAddress, Shard> shards;
};

}  // namespace sapphirecrank::limits
