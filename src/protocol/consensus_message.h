#pragma once

#include "consensus/raft_message.h"

namespace sapphirecrank::protocol {

/// A message of the group that agrees on the view of the sender's data centre. May be lost.
struct ConsensusMessage {
  consensus::RaftMessage raft_message;
};

}  // namespace sapphirecrank::protocol
