#pragma once

#include <cstddef>

#include "base/time.h"
#include "base/units.h"

namespace sapphirecrank::consensus {

/// Parameters of a group; the same on all its hosts.
struct RaftSettings {
  base::Duration heartbeat_interval = std::chrono::milliseconds(100);
  /// A host that heard from a leader less than this ago votes for nobody else.
  base::Duration minimum_election_timeout = std::chrono::milliseconds(500);
  base::Duration maximum_election_timeout = std::chrono::milliseconds(1000);
  /// How much earlier than `minimum_election_timeout` the leader's lease ends, for clocks that run
  /// at different speeds.
  base::Duration lease_margin = std::chrono::milliseconds(100);
  /// Entries in one message.
  base::ByteCount maximum_append_bytes{256 << 10};
  base::ByteCount snapshot_chunk_bytes{256 << 10};
  /// Applied entries after which a snapshot is taken.
  size_t snapshot_interval_entries = 1000;
  /// Entries kept in memory in front of a snapshot, so that a slow follower needs no snapshot.
  size_t retained_entries = 200;
  /// Entries by which a learner may lag when it is promoted.
  size_t maximum_promotion_lag_entries = 100;
};

}  // namespace sapphirecrank::consensus
