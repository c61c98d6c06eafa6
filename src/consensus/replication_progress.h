#pragma once

#include <optional>

#include "base/ids.h"
#include "base/time.h"
#include "base/units.h"
#include "consensus/freshness_token.h"

namespace sapphirecrank::consensus {

/// What the leader knows about one other host.
struct ReplicationProgress {
  /// Next entry to send.
  base::LogIndex next_index;
  /// Entries up to here are known to be on the host's synced storage.
  base::LogIndex durable_index;
  /// Commit position that was last sent.
  base::LogIndex sent_commit_index;
  /// The host's log may differ before `next`: one message at a time until an answer confirms it.
  bool is_probing = true;
  /// A message was sent while probing and not yet answered.
  bool is_paused = false;
  bool is_heartbeat_due = false;
  base::TimePoint last_response_at;
  /// Latest round that the host has answered.
  base::SequenceNumber acknowledged_round;
  /// Snapshot that is being sent (0: none), and how much of it has arrived.
  base::LogIndex snapshot_index;
  base::ByteCount snapshot_bytes_received;
  /// Token that waits for a quorum to answer `pending_token_round`.
  std::optional<FreshnessToken> pending_token;
  base::SequenceNumber pending_token_round;
  FreshnessToken confirmed_token;
};

}  // namespace sapphirecrank::consensus
