#pragma once

#include <algorithm>
#include <functional>
#include <set>

#include "base/ids.h"

namespace sapphirecrank::consensus {

/// The hosts of a group. Voters have durable storage and form quorums; learners only replicate.
///
/// Thread safety: pure.
struct RaftMembership {
  std::set<base::HostId> voters;
  std::set<base::HostId> learners;
  /// While a voter is being replaced, the voters before that; otherwise empty. A quorum then needs
  /// a majority of both sets (joint consensus).
  std::set<base::HostId> outgoing_voters{};

  /// Returns the number of voters that form a majority of `voters`.
  size_t QuorumSize() const { return this->voters.size() / 2 + 1; }

  /// Tells whether a host has a vote.
  bool IsVoter(const base::HostId& host) const {
    return this->voters.count(host) != 0 || this->outgoing_voters.count(host) != 0;
  }

  /// Tells whether a host votes or replicates.
  bool IsMember(const base::HostId& host) const {
    return this->IsVoter(host) || this->learners.count(host) != 0;
  }

  /// Returns all hosts that have a vote.
  std::set<base::HostId> AllVoters() const {
    std::set<base::HostId> all = this->voters;
    all.insert(this->outgoing_voters.begin(), this->outgoing_voters.end());
    return all;
  }

  /// Tells whether the hosts for which `counts` returns true form a quorum.
  bool IsQuorum(const std::function<bool(const base::HostId&)>& counts) const {
    return IsMajority(this->voters, counts) &&
           (this->outgoing_voters.empty() || IsMajority(this->outgoing_voters, counts));
  }

  friend bool operator==(const RaftMembership& a, const RaftMembership& b) {
    return a.voters == b.voters && a.learners == b.learners &&
           a.outgoing_voters == b.outgoing_voters;
  }
  friend bool operator!=(const RaftMembership& a, const RaftMembership& b) { return !(a == b); }

 private:
  static bool IsMajority(const std::set<base::HostId>& hosts,
                         const std::function<bool(const base::HostId&)>& counts) {
    const auto count = std::count_if(hosts.begin(), hosts.end(), counts);
    return static_cast<size_t>(count) >= hosts.size() / 2 + 1;
  }
};

}  // namespace sapphirecrank::consensus
