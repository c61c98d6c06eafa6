#pragma once

namespace sapphirecrank::consensus {

/// Answer to `VoteRequest`. The message's term is the request's if the vote is granted, otherwise
/// the voter's own.
struct VoteResponse {
  bool pre_vote = false;
  bool granted = false;
};

}  // namespace sapphirecrank::consensus
