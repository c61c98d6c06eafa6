#include "entryhost/configured_membership.h"

#include <algorithm>
#include <utility>

namespace sapphirecrank::entryhost {

using base::HostId;
using consensus::MembershipChange;
using consensus::RaftMembership;

ConfiguredMembership::ConfiguredMembership(RaftMembership configured)
    : configured_members(std::move(configured)) {}

std::optional<MembershipChange> ConfiguredMembership::NextChange(
    const RaftMembership& current, const PromotionCheck& can_promote) const {
  const RaftMembership& target = this->configured_members;
  for (const auto* members : {&target.voters, &target.learners}) {
    for (const HostId& host : *members) {
      if (current.voters.count(host) == 0 && current.learners.count(host) == 0) {
        return MembershipChange{MembershipChange::Kind::kAddLearner, host};
      }
    }
  }
  for (const HostId& host : target.voters) {
    if (current.learners.count(host) != 0 && can_promote(host)) {
      return MembershipChange{MembershipChange::Kind::kPromoteLearner, host};
    }
  }
  if (!std::includes(current.voters.begin(), current.voters.end(), target.voters.begin(),
                     target.voters.end())) {
    return std::nullopt;
  }
  for (const HostId& host : current.voters) {
    if (target.voters.count(host) == 0) {
      return MembershipChange{MembershipChange::Kind::kRemoveMember, host};
    }
  }
  for (const HostId& host : current.learners) {
    if (target.learners.count(host) == 0) {
      return MembershipChange{MembershipChange::Kind::kRemoveMember, host};
    }
  }
  return std::nullopt;
}

}  // namespace sapphirecrank::entryhost
