#pragma once

#include <string>

#include "base/ids.h"
#include "consensus/raft_membership.h"

namespace sapphirecrank::consensus {

/// State of the state machine after the entry `index`. Replaces the log up to that entry.
struct RaftSnapshot {
  base::LogIndex index;
  /// Term of the entry `index`.
  base::Term term;
  /// Membership that applies at the entry `index`.
  RaftMembership membership;
  std::string state;
};

}  // namespace sapphirecrank::consensus
