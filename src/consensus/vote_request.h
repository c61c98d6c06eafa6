#pragma once

#include "base/ids.h"

namespace sapphirecrank::consensus {

/// Request of a candidate for a vote in the message's term.
struct VoteRequest {
  /// Asks only whether the vote would be granted. The receiver changes no state.
  bool pre_vote = false;
  /// The leader has asked the candidate to take over. The receiver may then grant its vote although
  /// it has heard from that leader recently.
  bool is_leadership_transfer = false;
  /// Index and term of the last entry in the candidate's log.
  base::LogIndex last_index;
  base::Term last_term;
};

}  // namespace sapphirecrank::consensus
