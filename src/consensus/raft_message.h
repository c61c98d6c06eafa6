#pragma once

#include <variant>

#include "base/ids.h"
#include "consensus/append_request.h"
#include "consensus/append_response.h"
#include "consensus/snapshot_chunk.h"
#include "consensus/snapshot_response.h"
#include "consensus/timeout_now.h"
#include "consensus/vote_request.h"
#include "consensus/vote_response.h"

namespace sapphirecrank::consensus {

/// A message between two hosts of a group. Messages may be lost, repeated, delayed and reordered.
struct RaftMessage {
  using Body = std::variant<VoteRequest, VoteResponse, AppendRequest, AppendResponse, SnapshotChunk,
                            SnapshotResponse, TimeoutNow>;

  base::HostId from;
  base::HostId to;
  base::Term term;
  Body body;
};

}  // namespace sapphirecrank::consensus
