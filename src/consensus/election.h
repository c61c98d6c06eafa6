#pragma once

#include <set>

#include "base/ids.h"
#include "consensus/raft_membership.h"

namespace sapphirecrank::consensus {

/// Counts the votes that a candidate has received. Thread safety: none.
class Election {
 public:
  /// Forgets all votes.
  void ClearVotes() { this->granting_voters.clear(); }

  /// Records that `voter` granted its vote. Repeated responses count once.
  void RecordGrantedVote(const base::HostId& voter) { this->granting_voters.insert(voter); }

  /// Tells whether a quorum of the voters has granted its votes. Votes of other hosts don't count.
  bool HasQuorum(const RaftMembership& membership) const {
    return membership.IsQuorum(
        [this](const base::HostId& voter) { return this->granting_voters.count(voter) != 0; });
  }

 private:
  std::set<base::HostId> granting_voters;
};

}  // namespace sapphirecrank::consensus
