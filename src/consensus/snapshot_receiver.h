#pragma once

#include <optional>

#include "base/ids.h"
#include "base/units.h"
#include "consensus/raft_snapshot.h"
#include "consensus/snapshot_chunk.h"

namespace sapphirecrank::consensus {

/// Puts the chunks of one snapshot together. Thread safety: none.
class SnapshotReceiver {
 public:
  /// Takes a chunk sent in `term`. A chunk of another snapshot or term starts again; one that
  /// doesn't continue what is there is ignored. Returns the snapshot when it is complete.
  std::optional<RaftSnapshot> AddChunk(base::Term term, const SnapshotChunk& chunk);

  /// Returns the bytes received without gaps.
  base::ByteCount received_bytes() const {
    return base::ByteCount(static_cast<int64_t>(this->partial_snapshot.state.size()));
  }

 private:
  base::Term sender_term;
  RaftSnapshot partial_snapshot;
};

}  // namespace sapphirecrank::consensus
