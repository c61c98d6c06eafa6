#include "cluster/group_membership.h"

#include <utility>

#include "consensus/raft_node.h"

namespace sapphirecrank::cluster {

using base::HostId;

namespace {

constexpr base::Duration kJoinRequestInterval = std::chrono::seconds(1);

}  // namespace

GroupMembership::GroupMembership(Settings settings, Hooks hooks)
    : settings(settings),
      hooks(std::move(hooks)),
      planner(settings.desired_voter_count, settings.voter_replacement_delay) {}

void GroupMembership::OnJoinRequest(const HostId& joining_member) {
  this->planner.OnJoinRequest(joining_member, this->hooks.now());
}

void GroupMembership::Tick(const HostId& self, consensus::RaftNode& node) {
  const consensus::RaftMembership membership = node.Status().membership;
  const bool is_member = membership.voters.count(self) > 0 || membership.learners.count(self) > 0;
  const base::TimePoint now = this->hooks.now();
  if (!is_member && now >= this->next_join_request_at) {
    this->next_join_request_at = now + kJoinRequestInterval;
    this->hooks.send_join_request(self);
  }
  if (!node.HasLeaderLease()) {
    return;
  }
  const auto planned = this->planner.NextChange(membership, now, this->hooks.is_host_reachable);
  if (!planned) {
    return;
  }
  // A change that isn't possible yet is planned again at the next tick.
  const auto proposed = node.ChangeMembership(planned->change);
  if (proposed) {
    this->hooks.on_membership_change(*planned);
  } else if (proposed.error().code == base::ErrorCode::kInvalidArgument) {
    this->hooks.on_promotion_delayed(planned->change.host, proposed.error().message);
  }
}

}  // namespace sapphirecrank::cluster
