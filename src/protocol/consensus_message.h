#pragma once

#include "consensus/raft_message.h"

namespace sapphirecrank::protocol {

/// A message of a Raft group that sender and receiver belong to. May be lost.
struct ConsensusMessage {
  consensus::RaftMessage raft_message;
};

}  // namespace sapphirecrank::protocol
