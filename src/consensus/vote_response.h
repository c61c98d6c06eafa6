#pragma once

namespace sapphirecrank::consensus {

/// Response to `VoteRequest`. The message has the term of the request if the vote is granted,
/// otherwise the voter's own term.
struct VoteResponse {
  /// Repeats `VoteRequest::pre_vote`.
  bool pre_vote = false;
  bool granted = false;
};

}  // namespace sapphirecrank::consensus
