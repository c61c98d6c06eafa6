#pragma once

#include <string>

#include "base/ids.h"
#include "base/units.h"
#include "consensus/raft_membership.h"

namespace sapphirecrank::consensus {

/// A part of a snapshot for a host whose next entry the leader no longer has.
struct SnapshotChunk {
  base::LogIndex index;
  base::Term term;
  RaftMembership membership;
  base::ByteCount offset;
  std::string bytes;
  bool is_last = false;
  base::SequenceNumber heartbeat_round;
};

}  // namespace sapphirecrank::consensus
