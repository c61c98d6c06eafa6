#pragma once

#include "base/ids.h"
#include "base/units.h"

namespace sapphirecrank::consensus {

/// Answer to `SnapshotChunk`.
struct SnapshotResponse {
  base::LogIndex index;
  /// Bytes of the snapshot received so far without gaps.
  base::ByteCount received_bytes;
  /// The snapshot, or a longer log, is in use; it is on synced storage if `durable`.
  bool installed = false;
  bool durable = false;
  base::SequenceNumber heartbeat_round;
};

}  // namespace sapphirecrank::consensus
