#pragma once

#include <string>

#include "base/ids.h"
#include "consensus/raft_membership.h"

namespace sapphirecrank::consensus {

/// State of the state machine after the entry `index`, in place of the log up to there.
struct RaftSnapshot {
  base::LogIndex index;
  base::Term term;
  RaftMembership membership;
  std::string state;
};

}  // namespace sapphirecrank::consensus
