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
  /// Latest membership in the log; it may not be committed yet.
  RaftMembership membership;
  /// Index of the entry with `membership`, or of the start of the log.
  base::LogIndex membership_index;
  /// The host has working storage, so it votes and its acknowledgements count as durable.
  bool has_storage = false;
  /// All entries committed before this time are applied here; the clock's epoch if unknown.
  base::TimePoint up_to_date_as_of;
};

}  // namespace sapphirecrank::consensus
