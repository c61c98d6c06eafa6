#pragma once

#include <string>

#include "base/ids.h"
#include "base/units.h"
#include "consensus/raft_membership.h"

namespace sapphirecrank::consensus {

/// A part of a snapshot, sent to a host whose next entry is no longer in the leader's log.
struct SnapshotChunk {
  /// Index and term of the last entry that the snapshot covers.
  base::LogIndex index;
  base::Term term;
  RaftMembership membership;
  /// Position of `bytes` in the state of the snapshot.
  base::ByteCount offset;
  std::string bytes;
  bool is_last = false;
  /// Number of the leader's latest heartbeat round; the response repeats it.
  base::SequenceNumber heartbeat_round;
};

}  // namespace sapphirecrank::consensus
