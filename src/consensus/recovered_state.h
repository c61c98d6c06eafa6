#pragma once

#include <vector>

#include "consensus/hard_state.h"
#include "consensus/log_entry.h"
#include "consensus/raft_snapshot.h"

namespace sapphirecrank::consensus {

/// What a host knows when it starts: read from its disk, or only the first membership.
struct RecoveredState {
  HardState hard_state;
  /// Index 0 and an empty state if there is no snapshot; the membership is always set.
  RaftSnapshot snapshot;
  /// The entries that follow the snapshot, without gaps.
  std::vector<LogEntry> entries;
};

}  // namespace sapphirecrank::consensus
