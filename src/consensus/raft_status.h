#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "consensus/raft_membership.h"
#include "consensus/raft_role.h"

namespace sapphirecrank::consensus {

/// What a host knows about its group.
struct RaftStatus {
  RaftRole role = RaftRole::kFollower;
  base::Term term;
  /// Empty if unknown.
  base::HostId leader;
  base::LogIndex last_index;
  base::LogIndex commit_index;
  base::LogIndex applied_index;
  base::LogIndex snapshot_index;
  RaftMembership membership;
  /// The host votes and its answers count as durable.
  bool has_storage = false;
  /// Everything committed before this time is applied here; the epoch if unknown.
  base::TimePoint up_to_date_as_of;
};

}  // namespace sapphirecrank::consensus
