#pragma once

#include <functional>
#include <vector>

#include "base/result.h"
#include "consensus/hard_state.h"
#include "consensus/log_entry.h"
#include "consensus/raft_snapshot.h"

namespace sapphirecrank::consensus {

/// Durable storage of one group on one host. Both hooks are empty on a host without a disk.
///
/// When a hook returns success, its data is durable. After a failure the process doesn't use the
/// storage any more.
struct RaftStorage {
  /// Stores the hard state and `entries`. The entries replace all stored entries from the index of
  /// the first new one on.
  std::function<base::Result<void>(const HardState& state, const std::vector<LogEntry>& entries)>
      append_entries;
  /// Replaces the log by the snapshot and `entries`, which are all entries after the snapshot.
  std::function<base::Result<void>(const RaftSnapshot& snapshot, const HardState& state,
                                   const std::vector<LogEntry>& entries)>
      save_snapshot;
};

}  // namespace sapphirecrank::consensus
