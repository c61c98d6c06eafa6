#pragma once

#include "base/ids.h"
#include "consensus/freshness_token.h"

namespace sapphirecrank::consensus {

/// Response to `AppendRequest`.
struct AppendResponse {
  bool accepted = false;
  /// If accepted, the log equals the leader's up to this index. Otherwise the leader may retry with
  /// this index as `previous_index`.
  base::LogIndex index;
  /// The log up to `index` is on durable storage.
  bool durable = false;
  /// Repeats the round of the request.
  base::SequenceNumber heartbeat_round;
  /// Issued by the sender when it responds; the leader returns it once it is confirmed.
  FreshnessToken freshness_token;
};

}  // namespace sapphirecrank::consensus
