#pragma once

#include <set>

#include "base/ids.h"

namespace sapphirecrank::consensus {

/// The hosts of a group. Voters have durable storage and form quorums; learners only replicate.
struct RaftMembership {
  std::set<base::HostId> voters;
  std::set<base::HostId> learners;

  /// Returns the number of voters that form a quorum (a majority). Thread safety: pure.
  size_t QuorumSize() const { return this->voters.size() / 2 + 1; }

  friend bool operator==(const RaftMembership& a, const RaftMembership& b) {
    return a.voters == b.voters && a.learners == b.learners;
  }
  friend bool operator!=(const RaftMembership& a, const RaftMembership& b) { return !(a == b); }
};

}  // namespace sapphirecrank::consensus
