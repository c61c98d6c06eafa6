#pragma once

#include <functional>
#include <map>
#include <optional>

#include "base/ids.h"
#include "base/time.h"
#include "consensus/membership_change.h"
#include "consensus/raft_membership.h"

namespace sapphirecrank::cluster {

/// Decides how the leader changes the group: hosts that join become learners, learners become
/// voters until there are enough, and lost voters are replaced.
///
/// Thread safety: none.
class MembershipPlanner {
 public:
  /// `voters` is the number of voters to reach; `replace_after` is how long a voter must be out of
  /// reach before another host takes its place.
  MembershipPlanner(size_t voters, base::Duration replace_after);

  /// Takes the request of a live host.
  void OnJoinRequest(const base::HostId& member, base::TimePoint now);

  /// Returns the next step. `is_up` tells whether the host of a member is in reach.
  std::optional<consensus::MembershipChange> NextChange(
      const consensus::RaftMembership& membership, base::TimePoint now,
      const std::function<bool(const base::HostId&)>& is_up);

 private:
  bool IsSuperseded(const base::HostId& member, base::TimePoint now) const;
  bool HasReachableLearner(const consensus::RaftMembership& membership,
                           const std::function<bool(const base::HostId&)>& is_up) const;

  size_t wanted_voter_count;
  base::Duration replacement_delay;
  std::map<base::HostId, base::TimePoint> join_requests;
  std::map<base::HostId, base::TimePoint> last_reachable_at;
};

}  // namespace sapphirecrank::cluster
