#pragma once

#include "base/ids.h"
#include "base/units.h"

namespace sapphirecrank::consensus {

/// Response to `SnapshotChunk`.
struct SnapshotResponse {
  /// Index of the snapshot, repeated from the chunk.
  base::LogIndex index;
  /// Number of bytes of the snapshot received so far without gaps.
  base::ByteCount received_bytes;
  /// The host has installed the snapshot or has already committed the entries that it covers.
  bool installed = false;
  /// What is installed is on durable storage.
  bool durable = false;
  /// Repeats the round of the chunk.
  base::SequenceNumber heartbeat_round;
};

}  // namespace sapphirecrank::consensus
