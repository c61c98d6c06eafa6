#include "cluster/membership_planner.h"

#include "cluster/member_name.h"

namespace sapphirecrank::cluster {

using base::HostId;
using base::TimePoint;
using consensus::MembershipChange;

namespace {

// A host repeats its request every second while it isn't a member.
constexpr base::Duration kJoinRequestLifetime = std::chrono::seconds(3);

}  // namespace

MembershipPlanner::MembershipPlanner(size_t voters, base::Duration replace_after)
    : wanted_voter_count(voters), replacement_delay(replace_after) {}

void MembershipPlanner::OnJoinRequest(const HostId& member, TimePoint now) {
  this->join_requests[member] = now;
}

bool MembershipPlanner::IsSuperseded(const HostId& member, TimePoint now) const {
  for (const auto& [other, asked] : this->join_requests) {
    if (other != member && MemberName::ParseHost(other) == MemberName::ParseHost(member) &&
        now - asked < kJoinRequestLifetime) {
      return true;
    }
  }
  return false;
}

bool MembershipPlanner::HasReachableLearner(const consensus::RaftMembership& membership,
                                            const std::function<bool(const HostId&)>& is_up) const {
  for (const HostId& learner : membership.learners) {
    if (is_up(MemberName::ParseHost(learner))) {
      return true;
    }
  }
  return false;
}

std::optional<MembershipChange> MembershipPlanner::NextChange(
    const consensus::RaftMembership& membership, TimePoint now,
    const std::function<bool(const HostId&)>& is_up) {
  for (const HostId& voter : membership.voters) {
    auto seen = this->last_reachable_at.try_emplace(voter, now).first;
    if (is_up(MemberName::ParseHost(voter))) {
      seen->second = now;
    }
    const bool is_lost = now - seen->second >= this->replacement_delay &&
                         this->HasReachableLearner(membership, is_up);
    if (this->IsSuperseded(voter, now) || is_lost) {
      return MembershipChange{MembershipChange::Kind::kRemoveMember, voter};
    }
  }
  for (const auto& [member, asked] : this->join_requests) {
    const bool is_member =
        membership.voters.count(member) > 0 || membership.learners.count(member) > 0;
    if (!is_member && now - asked < kJoinRequestLifetime) {
      return MembershipChange{MembershipChange::Kind::kAddLearner, member};
    }
  }
  for (const HostId& learner : membership.learners) {
    if (this->IsSuperseded(learner, now)) {
      return MembershipChange{MembershipChange::Kind::kRemoveMember, learner};
    }
  }
  for (const HostId& learner : membership.learners) {
    if (membership.voters.size() < this->wanted_voter_count &&
        is_up(MemberName::ParseHost(learner))) {
      return MembershipChange{MembershipChange::Kind::kPromoteLearner, learner};
    }
  }
  return std::nullopt;
}

}  // namespace sapphirecrank::cluster
