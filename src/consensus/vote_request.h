#pragma once

#include "base/ids.h"

namespace sapphirecrank::consensus {

/// A candidate asks for a vote in the message's term.
struct VoteRequest {
  /// Asks only whether the vote would be granted; changes nothing at the receiver.
  bool pre_vote = false;
  /// The leader has asked the candidate to take over, so its lease doesn't stand in the way.
  bool is_leadership_transfer = false;
  base::LogIndex last_index;
  base::Term last_term;
};

}  // namespace sapphirecrank::consensus
