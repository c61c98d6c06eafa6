#pragma once

#include <functional>
#include <map>
#include <optional>

#include "base/ids.h"
#include "base/time.h"
#include "cluster/planned_change.h"
#include "consensus/raft_membership.h"

namespace sapphirecrank::cluster {

/// Plans the membership changes of the group for its leader: hosts that ask to join become
/// learners, learners become voters until there are enough voters, and lost voters are replaced.
///
/// Thread safety: none.
class MembershipPlanner {
 public:
  /// `desired_voter_count` is the number of voters to reach. A voter that has been unreachable for
  /// `replacement_delay` is replaced if another host is available.
  MembershipPlanner(size_t desired_voter_count, base::Duration replacement_delay);

  /// Records the join request of `member`, received at `now`.
  void OnJoinRequest(const base::HostId& member, base::TimePoint now);

  /// Returns the next membership change, if one is due. `is_reachable` tells whether a host (not a
  /// member name) is reachable. To be called regularly, because it records when voters are
  /// reachable.
  std::optional<PlannedChange> NextChange(
      const consensus::RaftMembership& membership, base::TimePoint now,
      const std::function<bool(const base::HostId&)>& is_reachable);

 private:
  // Tells whether the member's host has recently asked to join under another name.
  bool IsSuperseded(const base::HostId& member, base::TimePoint now) const;
  bool HasReachableLearner(const consensus::RaftMembership& membership,
                           const std::function<bool(const base::HostId&)>& is_reachable) const;

  size_t desired_voter_count;
  base::Duration replacement_delay;
  // Time of the latest join request of each member.
  std::map<base::HostId, base::TimePoint> join_requests;
  // Time when each voter was last reachable, or was first seen as a voter.
  std::map<base::HostId, base::TimePoint> last_reachable_at;
};

}  // namespace sapphirecrank::cluster
