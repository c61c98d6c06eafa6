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

/// Limits the request rate of each caller's address, so that one caller can't starve others.
///
/// The number of addresses in memory is bounded. When a shard is full, a new address replaces the
/// least recently used one, but only if the bucket of that one is full again, so that no address
/// gets a new burst by being evicted. Otherwise the new address uses an overflow bucket, which all
/// such addresses of the shard share. Thread safety: all methods may be called from any thread.
class CallerRateLimiter {
 public:
  struct Settings {
    EventsPerSecond rate;
    EventCount burst;
    /// Maximum number of addresses in memory, rounded down to a multiple of 16 but at least 16.
    size_t maximum_addresses = 65536;
  };

  /// Callbacks of the limiter; all must be set.
  struct Hooks {
    /// Current time.
    base::Clock now;
  };

  /// Creates a limiter without any addresses in memory.
  CallerRateLimiter(const Settings& settings, Hooks hooks);

  /// Counts one request of `caller`, or refuses it with `kOverloaded` and the time after which to
  /// retry.
  Admission Admit(const CallerAddress& caller);

  /// Returns the number of addresses in memory.
  size_t AddressCount();

 private:
  struct Shard {
    // Both are set by the constructor of the limiter, because shards are default-constructed.
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
