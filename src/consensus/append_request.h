#pragma once

#include <vector>

#include "base/ids.h"
#include "consensus/freshness_token.h"
#include "consensus/log_entry.h"

namespace sapphirecrank::consensus {

/// The leader sends entries, or none as a heartbeat.
struct AppendRequest {
  base::LogIndex previous_index;
  base::Term previous_term;
  std::vector<LogEntry> entries;
  base::LogIndex commit_index;
  /// Number of the leader's latest round of heartbeats; the answer repeats it.
  base::SequenceNumber heartbeat_round;
  /// Latest token of the receiver after which a quorum has confirmed the leader: what was committed
  /// when the receiver asked is at most `commit_index`.
  FreshnessToken confirmed_freshness_token;
};

}  // namespace sapphirecrank::consensus
