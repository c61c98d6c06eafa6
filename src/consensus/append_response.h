#pragma once

#include "base/ids.h"
#include "consensus/freshness_token.h"

namespace sapphirecrank::consensus {

/// Answer to `AppendRequest`.
struct AppendResponse {
  bool accepted = false;
  /// If accepted: the log equals the leader's up to here. Otherwise: where the leader may retry.
  base::LogIndex index;
  /// The log up to `index` is on synced storage.
  bool durable = false;
  base::SequenceNumber heartbeat_round;
  FreshnessToken freshness_token;
};

}  // namespace sapphirecrank::consensus
