#pragma once

#include <functional>
#include <string>

#include "base/ids.h"
#include "base/time.h"
#include "cluster/membership_planner.h"

namespace sapphirecrank::consensus {
class RaftNode;
struct RaftStatus;
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
    /// A lost host counts as lost until it has been back, or its successor has run, for this long.
    /// Within this time the group replaces its vote, so that it can lose the next one.
    base::Duration catch_up_time = std::chrono::seconds(4);
  };

  /// Functions that this class calls. All members must be set.
  struct Hooks {
    base::Clock now;
    std::function<bool(const base::HostId& host)> is_host_reachable;
    /// Tells whether a host, which may be this one, has announced that it is stopping.
    std::function<bool(const base::HostId& host)> is_host_leaving;
    /// Returns an empty id if the data centre isn't known.
    std::function<base::DataCentreId(const base::HostId& host)> host_data_centre;
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

  /// Tells whether the host had a vote at the last tick that another one can take over. A host that
  /// stops waits for that, because it may not return.
  bool is_vote_handover_pending() const { return this->has_vote_to_hand_over; }

 private:
  void RequestToJoinIfDue(const base::HostId& self, const consensus::RaftStatus& status);
  bool HasVoteToHandOver(const base::HostId& self,
                         const consensus::RaftMembership& membership) const;
  MembershipPlanner::Settings PlannerSettings() const;
  MembershipPlanner::Hooks PlannerHooks();

  Settings settings;
  Hooks hooks;
  MembershipPlanner planner;
  // Set during `Tick`.
  const consensus::RaftNode* ticking_node = nullptr;
  base::TimePoint next_join_request_at;
  base::TimePoint last_leader_at;
  bool has_vote_to_hand_over = false;
};

}  // namespace sapphirecrank::cluster
