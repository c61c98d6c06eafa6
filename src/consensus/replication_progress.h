#pragma once

#include <optional>

#include "base/ids.h"
#include "base/time.h"
#include "base/units.h"
#include "consensus/freshness_token.h"

namespace sapphirecrank::consensus {

/// The leader's knowledge of one other host.
struct ReplicationProgress {
  /// Index of the next entry to send.
  base::LogIndex next_index;
  /// Entries up to this index are known to be on the host's durable storage.
  base::LogIndex durable_index;
  /// The host's last append response came from working storage.
  bool has_storage = false;
  /// Commit index that was last sent.
  base::LogIndex sent_commit_index;
  /// The host's log may differ before `next_index`. One message is sent at a time until a response
  /// confirms that the logs match.
  bool is_probing = true;
  /// Until the host responds to the last probe or snapshot chunk, it gets only heartbeats.
  bool is_paused = false;
  bool is_heartbeat_due = false;
  base::TimePoint last_response_at;
  /// Latest heartbeat round that the host has responded to.
  base::SequenceNumber acknowledged_round;
  /// Index of the snapshot that is being sent; 0 if none is.
  base::LogIndex snapshot_index;
  /// Bytes of that snapshot that the host has received.
  base::ByteCount snapshot_bytes_received;
  /// Token that becomes confirmed when a quorum responds to `pending_token_round`.
  std::optional<FreshnessToken> pending_token;
  base::SequenceNumber pending_token_round;
  /// Latest confirmed token; append requests return it to the host.
  FreshnessToken confirmed_token;
};

}  // namespace sapphirecrank::consensus
