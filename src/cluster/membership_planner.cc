#include "cluster/membership_planner.h"

#include "cluster/member_name.h"

namespace sapphirecrank::cluster {

using base::HostId;
using base::TimePoint;
using consensus::MembershipChange;

namespace {

// A host that isn't a member repeats its request every second. A request that has not been repeated
// for this long is ignored.
constexpr base::Duration kJoinRequestLifetime = std::chrono::seconds(3);

}  // namespace

MembershipPlanner::MembershipPlanner(size_t desired_voter_count, base::Duration replacement_delay)
    : desired_voter_count(desired_voter_count), replacement_delay(replacement_delay) {}

void MembershipPlanner::OnJoinRequest(const HostId& member, TimePoint now) {
  this->join_requests[member] = now;
}

bool MembershipPlanner::IsSuperseded(const HostId& member, TimePoint now) const {
  for (const auto& [other, requested_at] : this->join_requests) {
    if (other != member && MemberName::ParseHost(other) == MemberName::ParseHost(member) &&
        now - requested_at < kJoinRequestLifetime) {
      return true;
    }
  }
  return false;
}

bool MembershipPlanner::HasReachableLearner(
    const consensus::RaftMembership& membership,
    const std::function<bool(const HostId&)>& is_reachable) const {
  for (const HostId& learner : membership.learners) {
    if (is_reachable(MemberName::ParseHost(learner))) {
      return true;
    }
  }
  return false;
}

std::optional<PlannedChange> MembershipPlanner::NextChange(
    const consensus::RaftMembership& membership, TimePoint now,
    const std::function<bool(const HostId&)>& is_reachable) {
  for (const HostId& voter : membership.voters) {
    auto reachable_at = this->last_reachable_at.try_emplace(voter, now).first;
    if (is_reachable(MemberName::ParseHost(voter))) {
      reachable_at->second = now;
    }
    const bool is_lost = now - reachable_at->second >= this->replacement_delay &&
                         this->HasReachableLearner(membership, is_reachable);
    if (this->IsSuperseded(voter, now) || is_lost) {
      return PlannedChange{{MembershipChange::Kind::kRemoveMember, voter},
                           is_lost ? "unreachable, and a learner can take its place"
                                   : "its host has lost this member's disk"};
    }
  }
  for (const auto& [member, requested_at] : this->join_requests) {
    const bool is_member =
        membership.voters.count(member) > 0 || membership.learners.count(member) > 0;
    if (!is_member && now - requested_at < kJoinRequestLifetime) {
      return PlannedChange{{MembershipChange::Kind::kAddLearner, member}, "asked to join"};
    }
  }
  for (const HostId& learner : membership.learners) {
    if (this->IsSuperseded(learner, now)) {
      return PlannedChange{{MembershipChange::Kind::kRemoveMember, learner},
                           "its host has lost this member's disk"};
    }
  }
  for (const HostId& learner : membership.learners) {
    if (membership.voters.size() < this->desired_voter_count &&
        is_reachable(MemberName::ParseHost(learner))) {
      return PlannedChange{{MembershipChange::Kind::kPromoteLearner, learner},
                           "fewer voters than desired"};
    }
  }
  return std::nullopt;
}

}  // namespace sapphirecrank::cluster
