#pragma once

#include <functional>
#include <string>

#include "base/ids.h"
#include "base/time.h"
#include "cluster/membership_planner.h"

namespace sapphirecrank::consensus {
class RaftNode;
}  // namespace sapphirecrank::consensus

namespace sapphirecrank::cluster {

/// Keeps the membership of one host's group up to date: asks to join if the host isn't a member,
/// and makes the planned changes while the host leads.
///
/// Thread safety: none.
class GroupMembership {
 public:
  struct Settings {
    /// Number of voters that the leader aims for.
    size_t desired_voter_count = 3;
    /// A voter that is unreachable for this long is replaced if another host can take its place.
    base::Duration voter_replacement_delay = std::chrono::seconds(10);
  };

  /// Functions that this class calls. All members must be set.
  struct Hooks {
    base::Clock now;
    std::function<bool(const base::HostId& host)> is_host_reachable;
    /// Sends a request to join to all reachable allocators.
    std::function<void(const base::HostId& member)> send_join_request;
    /// This host has proposed a membership change as leader.
    std::function<void(const PlannedChange&)> on_membership_change;
    /// A learner that should become a voter can't for this reason.
    std::function<void(const base::HostId& learner, const std::string& reason)>
        on_promotion_delayed;
  };

  GroupMembership(Settings settings, Hooks hooks);

  /// Records the join request of another host's member.
  void OnJoinRequest(const base::HostId& joining_member);

  /// Does what is due for the host with the name `self` and the replica `node`. To be called
  /// several times per 100 ms.
  void Tick(const base::HostId& self, consensus::RaftNode& node);

 private:
  Settings settings;
  Hooks hooks;
  MembershipPlanner planner;
  base::TimePoint next_join_request_at;
};

}  // namespace sapphirecrank::cluster
