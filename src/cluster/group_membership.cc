#include "cluster/group_membership.h"

#include <algorithm>
#include <utility>

#include "cluster/member_name.h"
#include "consensus/raft_node.h"

namespace sapphirecrank::cluster {

using base::HostId;
using consensus::RaftMembership;

namespace {

constexpr base::Duration kJoinRequestInterval = std::chrono::milliseconds(250);
// Longer than an election takes.
constexpr base::Duration kLeaderlessJoinDelay = std::chrono::seconds(2);
// A voter that is unreachable is replaced after this part of the catch-up time. The rest is for its
// successor to join, to get the log and to become a voter.
constexpr int kReplacementDelayDivisor = 4;

}  // namespace

GroupMembership::GroupMembership(Settings settings, Hooks hooks)
    : settings(settings),
      hooks(std::move(hooks)),
      planner(this->PlannerSettings(), this->PlannerHooks()),
      last_leader_at(this->hooks.now()) {}

MembershipPlanner::Settings GroupMembership::PlannerSettings() const {
  MembershipPlanner::Settings planner_settings;
  planner_settings.desired_voter_count = this->settings.desired_voter_count;
  planner_settings.replacement_delay = this->settings.catch_up_time / kReplacementDelayDivisor;
  planner_settings.learner_removal_delay = this->settings.catch_up_time;
  return planner_settings;
}

MembershipPlanner::Hooks GroupMembership::PlannerHooks() {
  MembershipPlanner::Hooks planner_hooks;
  planner_hooks.is_reachable = this->hooks.is_host_reachable;
  planner_hooks.silence = [this](const HostId& member) {
    return this->ticking_node->SilenceOf(member);
  };
  planner_hooks.is_leaving = this->hooks.is_host_leaving;
  planner_hooks.data_centre = this->hooks.host_data_centre;
  planner_hooks.check_promotion = [this](const HostId& learner) {
    return this->ticking_node->CheckPromotion(learner);
  };
  planner_hooks.on_promotion_delayed = this->hooks.on_promotion_delayed;
  return planner_hooks;
}

void GroupMembership::OnJoinRequest(const HostId& joining_member) {
  this->planner.OnJoinRequest(joining_member, this->hooks.now());
}

void GroupMembership::Tick(const HostId& self, consensus::RaftNode& node) {
  const consensus::RaftStatus status = node.Status();
  const base::TimePoint now = this->hooks.now();
  this->RequestToJoinIfDue(self, status);
  this->has_vote_to_hand_over = this->HasVoteToHandOver(self, status.membership);
  this->ticking_node = &node;
  this->planner.ObserveMembers(status.membership, now);
  const auto planned =
      node.HasLeaderLease() ? this->planner.NextChange(self, status.membership, now) : std::nullopt;
  this->ticking_node = nullptr;
  // A change that isn't possible yet is planned again at the next tick.
  if (planned && node.ChangeMembership(planned->change)) {
    this->hooks.on_membership_change(*planned);
  }
}

void GroupMembership::RequestToJoinIfDue(const HostId& self, const consensus::RaftStatus& status) {
  const base::TimePoint now = this->hooks.now();
  if (!status.leader.empty()) {
    this->last_leader_at = now;
  }
  if (this->hooks.is_host_leaving(MemberName::ParseHost(self))) {
    return;
  }
  const bool is_member = status.membership.IsMember(self);
  // A host that was removed while it was unreachable is still a member in its own log.
  const bool may_have_been_removed = now - this->last_leader_at >= kLeaderlessJoinDelay;
  if ((!is_member || may_have_been_removed) && now >= this->next_join_request_at) {
    this->next_join_request_at = now + kJoinRequestInterval;
    this->hooks.send_join_request(self);
  }
}

bool GroupMembership::HasVoteToHandOver(const HostId& self,
                                        const RaftMembership& membership) const {
  const auto can_take_over = [this](const HostId& learner) {
    const HostId host = MemberName::ParseHost(learner);
    return this->hooks.is_host_reachable(host) && !this->hooks.is_host_leaving(host);
  };
  const bool has_successor =
      !membership.outgoing_voters.empty() ||
      std::any_of(membership.learners.begin(), membership.learners.end(), can_take_over);
  return has_successor && membership.IsVoter(self);
}

}  // namespace sapphirecrank::cluster
