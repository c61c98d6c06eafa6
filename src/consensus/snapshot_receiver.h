#pragma once

#include <optional>

#include "base/ids.h"
#include "base/units.h"
#include "consensus/raft_snapshot.h"
#include "consensus/snapshot_chunk.h"

namespace sapphirecrank::consensus {

/// Assembles a snapshot from its chunks. Thread safety: none.
class SnapshotReceiver {
 public:
  /// Adds a chunk that was sent in `term`. A chunk of another snapshot or term discards the partial
  /// snapshot. A chunk that doesn't start where the received bytes end is ignored. Returns the
  /// snapshot when it is complete.
  std::optional<RaftSnapshot> AddChunk(base::Term term, const SnapshotChunk& chunk);

  /// Returns the number of bytes of the partial snapshot.
  base::ByteCount received_bytes() const {
    return base::ByteCount(static_cast<int64_t>(this->partial_snapshot.state.size()));
  }

 private:
  base::Term sender_term;
  RaftSnapshot partial_snapshot;
};

}  // namespace sapphirecrank::consensus
