#pragma once

#include <vector>

#include "base/ids.h"
#include "consensus/freshness_token.h"
#include "consensus/log_entry.h"

namespace sapphirecrank::consensus {

/// Request of the leader to append entries to the receiver's log. Without entries it is a
/// heartbeat.
struct AppendRequest {
  /// Index and term of the entry before `entries`; the receiver's log must contain it.
  base::LogIndex previous_index;
  base::Term previous_term;
  std::vector<LogEntry> entries;
  base::LogIndex commit_index;
  /// Number of the leader's latest heartbeat round; the response repeats it.
  base::SequenceNumber heartbeat_round;
  /// Latest token of the receiver for which a quorum has since confirmed the leader. All entries
  /// that were committed when the receiver issued it are at or before `commit_index`.
  FreshnessToken confirmed_freshness_token;
};

}  // namespace sapphirecrank::consensus
