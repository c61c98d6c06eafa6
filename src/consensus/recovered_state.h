#pragma once

#include <vector>

#include "consensus/hard_state.h"
#include "consensus/log_entry.h"
#include "consensus/raft_snapshot.h"

namespace sapphirecrank::consensus {

/// State of a host when it starts: read from its disk, or only the initial membership.
struct RecoveredState {
  HardState hard_state;
  /// Has index 0 and an empty state if there is no snapshot. The membership is always set.
  RaftSnapshot snapshot;
  /// The entries that follow the snapshot, without gaps.
  std::vector<LogEntry> entries;
};

}  // namespace sapphirecrank::consensus
