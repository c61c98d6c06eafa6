#pragma once

#include <cstddef>

#include "base/time.h"
#include "base/units.h"

namespace sapphirecrank::consensus {

/// Parameters of a group. They must be the same on all its hosts.
struct RaftSettings {
  base::Duration heartbeat_interval = std::chrono::milliseconds(100);
  /// A host that heard from a leader less than this ago ignores vote requests, except for a
  /// leadership transfer. Each election timeout is chosen at random between minimum and maximum.
  base::Duration minimum_election_timeout = std::chrono::milliseconds(500);
  base::Duration maximum_election_timeout = std::chrono::milliseconds(1000);
  /// The leader's lease ends this much earlier than `minimum_election_timeout`, because clocks run
  /// at different speeds.
  base::Duration lease_margin = std::chrono::milliseconds(100);
  /// Maximum size of the entries in one append request. A single entry may exceed it.
  base::ByteCount maximum_append_bytes{256 << 10};
  /// Maximum number of snapshot bytes in one chunk.
  base::ByteCount snapshot_chunk_bytes{256 << 10};
  /// Number of applied entries after which the next snapshot is taken.
  size_t snapshot_interval_entries = 1000;
  /// Number of entries before a snapshot that stay in memory, so that a slow follower can get them
  /// instead of the snapshot.
  size_t retained_entries = 200;
  /// A learner is promoted only if at most this many entries are not durable on it.
  size_t maximum_promotion_lag_entries = 100;
  /// Maximum size of these entries. The group can't lose the next voter before the new one has
  /// them.
  base::ByteCount maximum_promotion_lag_bytes{1 << 20};
};

}  // namespace sapphirecrank::consensus
