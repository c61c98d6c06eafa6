#pragma once

#include <optional>

#include "base/ids.h"
#include "base/time.h"
#include "base/units.h"
#include "consensus/probe_token.h"

namespace sapphirecrank::consensus {

/// What the leader knows about one other host.
struct ReplicationProgress {
  /// Next entry to send.
  base::LogIndex next;
  /// Entries up to here are known to be on the host's synced storage.
  base::LogIndex durable;
  /// Commit position that was last sent.
  base::LogIndex sent_commit;
  /// The host's log may differ before `next`: one message at a time until an answer confirms it.
  bool probing = true;
  /// A message was sent while probing and not yet answered.
  bool paused = false;
  bool heartbeat_due = false;
  base::TimePoint last_answer;
  /// Latest round that the host has answered.
  base::Sequence round;
  /// Snapshot that is being sent (0: none), and how much of it has arrived.
  base::LogIndex snapshot;
  base::ByteCount snapshot_received;
  /// Token that waits for a quorum to answer `waiting_round`.
  std::optional<FreshnessToken> waiting;
  base::Sequence waiting_round;
  FreshnessToken confirmed;
};

}  // namespace sapphirecrank::consensus
