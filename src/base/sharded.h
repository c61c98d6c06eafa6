#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <utility>
#include <vector>

#include "base/mutex.h"
#include "base/mutex_lock.h"

namespace sapphirecrank::base {

/// State split into shards by the hash of a key, each shard under its own lock.
///
/// Thread safety: all methods may be called from any thread. Functions run while the shard's lock
/// is held: they must not wait, call out of the process, or use the same `Sharded`.
template <typename Key, typename State>
class Sharded {
 public:
  /// Creates `count` shards of default-constructed state. Precondition: `count` > 0.
  explicit Sharded(size_t count) {
    for (size_t i = 0; i < count; ++i) {
      this->shards.push_back(std::make_unique<Shard>());
    }
  }

  /// Runs `function(State&)` on the shard of `key` and returns its result.
  template <typename Function>
  auto WithShard(const Key& key, Function&& function) {
    return this->WithShardAt(std::hash<Key>()(key) % this->shards.size(),
                             std::forward<Function>(function));
  }

  /// Runs `function(State&)` on shard `index`. Precondition: `index` < `shard_count()`.
  template <typename Function>
  auto WithShardAt(size_t index, Function&& function) {
    Shard& shard = *this->shards[index];
    MutexLock lock(shard.mutex);
    return function(shard.state);
  }

  /// Runs `function(State&)` on each shard in turn; never holds two locks at once.
  template <typename Function>
  void ForEachShard(Function&& function) {
    for (size_t i = 0; i < this->shards.size(); ++i) {
      this->WithShardAt(i, function);
    }
  }

  /// Returns the number of shards.
  size_t shard_count() const { return this->shards.size(); }

 private:
  struct Shard {
    Mutex mutex;
    State state GUARDED_BY(mutex);
  };

  std::vector<std::unique_ptr<Shard>> shards;
};

}  // namespace sapphirecrank::base
