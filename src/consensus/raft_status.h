#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "consensus/raft_membership.h"
#include "consensus/raft_role.h"

namespace sapphirecrank::consensus {

/// State of a group as one of its hosts knows it.
struct RaftStatus {
  RaftRole role = RaftRole::kFollower;
  base::Term term;
  /// Current leader; empty if unknown.
  base::HostId leader;
  base::LogIndex last_index;
  base::LogIndex commit_index;
  base::LogIndex applied_index;
  base::LogIndex snapshot_index;
  RaftMembership membership;
  /// The host has working storage, so it votes and its acknowledgements count as durable.
  bool has_storage = false;
  /// All entries committed before this time are applied here; the clock's epoch if unknown.
  base::TimePoint up_to_date_as_of;
};

}  // namespace sapphirecrank::consensus
