#include "cluster/membership_planner.h"

#include <algorithm>
#include <utility>

#include "cluster/member_name.h"

namespace sapphirecrank::cluster {

using base::DataCentreId;
using base::HostId;
using base::TimePoint;
using consensus::MembershipChange;
using consensus::RaftMembership;

namespace {

// A host that isn't a member repeats its request several times per second. A request that has not
// been repeated for this long is ignored.
constexpr base::Duration kJoinRequestLifetime = std::chrono::seconds(3);
// As for connections between hosts.
constexpr base::Duration kMaximumSilence = std::chrono::seconds(1);
// After a longer gap this host may have stood still, so it doesn't know how long others were
// unreachable.
constexpr base::Duration kMaximumObservationGap = std::chrono::milliseconds(500);

PlannedChange AddLearnerChange(const HostId& member) {
  return {{MembershipChange::Kind::kAddLearner, member, HostId()}, "asked to join"};
}

PlannedChange PromotionOf(const HostId& learner, std::string reason) {
  return {{MembershipChange::Kind::kPromoteLearner, learner, HostId()}, std::move(reason)};
}

PlannedChange ReplacementOf(const HostId& voter, const HostId& learner, std::string reason) {
  return {{MembershipChange::Kind::kReplaceVoter, learner, voter}, std::move(reason)};
}

PlannedChange RemovalOf(const HostId& member, std::string reason) {
  return {{MembershipChange::Kind::kRemoveMember, member, HostId()}, std::move(reason)};
}

}  // namespace

MembershipPlanner::MembershipPlanner(Settings settings, Hooks hooks)
    : settings(settings), hooks(std::move(hooks)) {}

void MembershipPlanner::OnJoinRequest(const HostId& member, TimePoint now) {
  this->join_requests[member] = now;
}

void MembershipPlanner::ObserveMembers(const RaftMembership& membership, TimePoint now) {
  const bool has_stood_still = now - this->last_observed_at > kMaximumObservationGap;
  this->last_observed_at = now;
  std::map<HostId, TimePoint> observed;
  for (const auto* members :
       {&membership.voters, &membership.learners, &membership.outgoing_voters}) {
    for (const HostId& member : *members) {
      const auto known = this->last_reachable_at.find(member);
      const bool counts_as_reachable =
          has_stood_still || known == this->last_reachable_at.end() || this->IsReachable(member);
      observed[member] = counts_as_reachable ? now : known->second;
    }
  }
  this->last_reachable_at = std::move(observed);
  for (auto request = this->join_requests.begin(); request != this->join_requests.end();) {
    const bool is_outdated = now - request->second >= kJoinRequestLifetime;
    request = is_outdated ? this->join_requests.erase(request) : std::next(request);
  }
}

std::optional<PlannedChange> MembershipPlanner::NextChange(const HostId& self,
                                                           const RaftMembership& membership,
                                                           TimePoint now) {
  if (!membership.outgoing_voters.empty()) {
    return std::nullopt;  // The replacement in progress comes first.
  }
  if (auto change = this->RemoveMemberWithLostDisk(membership, now)) {
    return change;
  }
  if (auto change = this->AddLearner(membership, now)) {
    return change;
  }
  if (membership.voters.size() > this->settings.desired_voter_count) {
    return this->RemoveSurplusVoter(self, membership, now);
  }
  if (membership.voters.size() < this->settings.desired_voter_count) {
    return this->PromoteLearner(membership, now);
  }
  if (auto change = this->ReplaceLostVoter(self, membership, now)) {
    return change;
  }
  if (auto change = this->SpreadVoters(self, membership, now)) {
    return change;
  }
  return this->RemoveLostLearner(membership, now);
}

bool MembershipPlanner::IsReachable(const HostId& member) const {
  return this->hooks.is_reachable(MemberName::ParseHost(member)) &&
         this->hooks.silence(member) < kMaximumSilence;
}

bool MembershipPlanner::IsLeaving(const HostId& member) const {
  return this->hooks.is_leaving(MemberName::ParseHost(member));
}

DataCentreId MembershipPlanner::DataCentreOf(const HostId& member) const {
  return this->hooks.data_centre(MemberName::ParseHost(member));
}

bool MembershipPlanner::IsSuperseded(const HostId& member, TimePoint now) const {
  const auto own_request = this->join_requests.find(member);
  for (const auto& [other, requested_at] : this->join_requests) {
    const bool is_later =
        own_request == this->join_requests.end() || requested_at > own_request->second;
    if (other != member && is_later &&
        MemberName::ParseHost(other) == MemberName::ParseHost(member) &&
        now - requested_at < kJoinRequestLifetime) {
      return true;
    }
  }
  return false;
}

bool MembershipPlanner::HasBeenUnreachableFor(const HostId& member, base::Duration duration,
                                              TimePoint now) const {
  const auto reachable_at = this->last_reachable_at.find(member);
  return reachable_at != this->last_reachable_at.end() && now - reachable_at->second >= duration;
}

bool MembershipPlanner::MustBeReplaced(const HostId& voter, TimePoint now) const {
  return this->IsLeaving(voter) ||
         this->HasBeenUnreachableFor(voter, this->settings.replacement_delay, now);
}

MembershipPlanner::VoterCounts MembershipPlanner::CountVoters(const RaftMembership& membership,
                                                              TimePoint now) const {
  VoterCounts counts;
  for (const HostId& voter : membership.voters) {
    if (!this->MustBeReplaced(voter, now)) {
      ++counts[this->DataCentreOf(voter)];
    }
  }
  return counts;
}

std::optional<PlannedChange> MembershipPlanner::RemoveMemberWithLostDisk(
    const RaftMembership& membership, TimePoint now) const {
  for (const auto* members : {&membership.voters, &membership.learners}) {
    for (const HostId& member : *members) {
      const bool is_last_voter =
          membership.voters.size() == 1 && membership.voters.count(member) != 0;
      if (!is_last_voter && this->IsSuperseded(member, now)) {
        return RemovalOf(member, "its host has lost this member's disk");
      }
    }
  }
  return std::nullopt;
}

std::optional<PlannedChange> MembershipPlanner::AddLearner(const RaftMembership& membership,
                                                           TimePoint now) const {
  for (const auto& [member, requested_at] : this->join_requests) {
    if (!membership.IsMember(member) && !this->IsLeaving(member) &&
        now - requested_at < kJoinRequestLifetime && !this->IsSuperseded(member, now)) {
      return AddLearnerChange(member);
    }
  }
  return std::nullopt;
}

std::optional<PlannedChange> MembershipPlanner::RemoveSurplusVoter(const HostId& self,
                                                                   const RaftMembership& membership,
                                                                   TimePoint now) const {
  for (const HostId& voter : membership.voters) {
    if (voter != self && this->MustBeReplaced(voter, now)) {
      return RemovalOf(voter, "more voters than desired; this one is lost or stopping");
    }
  }
  for (const HostId& voter : membership.voters) {
    // The voter that is unreachable now may be the one to remove.
    if (!this->IsReachable(voter)) {
      return std::nullopt;
    }
  }
  const auto chosen = this->MostCrowdedVoter(self, membership, this->CountVoters(membership, now));
  if (!chosen) {
    return std::nullopt;
  }
  return RemovalOf(*chosen, "more voters than desired");
}

std::optional<HostId> MembershipPlanner::MostCrowdedVoter(const HostId& self,
                                                          const RaftMembership& membership,
                                                          const VoterCounts& voter_counts) const {
  std::optional<HostId> chosen;
  size_t chosen_count = 0;
  for (const HostId& voter : membership.voters) {
    const auto count = voter_counts.find(this->DataCentreOf(voter));
    if (voter != self && count != voter_counts.end() && count->second > chosen_count) {
      chosen = voter;
      chosen_count = count->second;
    }
  }
  return chosen;
}

std::vector<HostId> MembershipPlanner::PromotionCandidates(const RaftMembership& membership,
                                                           const VoterCounts& voter_counts) const {
  const auto voters_nearby = [this, &voter_counts](const HostId& learner) {
    const auto count = voter_counts.find(this->DataCentreOf(learner));
    return count == voter_counts.end() ? 0 : count->second;
  };
  std::vector<HostId> candidates;
  for (const HostId& learner : membership.learners) {
    if (this->IsReachable(learner) && !this->IsLeaving(learner)) {
      candidates.push_back(learner);
    }
  }
  std::stable_sort(candidates.begin(), candidates.end(),
                   [&voters_nearby](const HostId& a, const HostId& b) {
                     return voters_nearby(a) < voters_nearby(b);
                   });
  return candidates;
}

std::optional<HostId> MembershipPlanner::ChooseSuccessor(const RaftMembership& membership,
                                                         TimePoint now) const {
  const std::vector<HostId> candidates =
      this->PromotionCandidates(membership, this->CountVoters(membership, now));
  for (const HostId& learner : candidates) {
    if (this->hooks.check_promotion(learner)) {
      return learner;
    }
  }
  if (!candidates.empty()) {
    this->hooks.on_promotion_delayed(
        candidates.front(), this->hooks.check_promotion(candidates.front()).error().message);
  }
  return std::nullopt;
}

std::optional<PlannedChange> MembershipPlanner::PromoteLearner(const RaftMembership& membership,
                                                               TimePoint now) const {
  const auto learner = this->ChooseSuccessor(membership, now);
  if (!learner) {
    return std::nullopt;
  }
  return PromotionOf(*learner, "fewer voters than desired");
}

std::optional<PlannedChange> MembershipPlanner::ReplaceLostVoter(const HostId& self,
                                                                 const RaftMembership& membership,
                                                                 TimePoint now) const {
  for (const HostId& voter : membership.voters) {
    // A leader that is stopping transfers its leadership, and the next leader replaces it.
    if (voter == self || !this->MustBeReplaced(voter, now)) {
      continue;
    }
    if (const auto learner = this->ChooseSuccessor(membership, now)) {
      return ReplacementOf(voter, *learner,
                           this->IsLeaving(voter) ? "the host of the replaced voter is stopping"
                                                  : "the replaced voter is unreachable");
    }
    return std::nullopt;
  }
  return std::nullopt;
}

std::optional<PlannedChange> MembershipPlanner::SpreadVoters(const HostId& self,
                                                             const RaftMembership& membership,
                                                             TimePoint now) const {
  const VoterCounts voter_counts = this->CountVoters(membership, now);
  size_t counted_voters = 0;
  size_t highest_count = 0;
  for (const auto& [data_centre, count] : voter_counts) {
    counted_voters += count;
    highest_count = std::max(highest_count, count);
  }
  // A voter that is about to be replaced, or whose data centre isn't known, may even out the rest.
  if (counted_voters < membership.voters.size() || voter_counts.count(DataCentreId()) != 0) {
    return std::nullopt;
  }
  for (const HostId& voter : membership.voters) {
    if (!this->IsReachable(voter)) {
      return std::nullopt;
    }
  }
  const auto replaced = this->MostCrowdedVoter(self, membership, voter_counts);
  if (!replaced || voter_counts.at(this->DataCentreOf(*replaced)) < highest_count) {
    return std::nullopt;
  }
  for (const HostId& learner : this->PromotionCandidates(membership, voter_counts)) {
    const DataCentreId data_centre = this->DataCentreOf(learner);
    const auto count = voter_counts.find(data_centre);
    const size_t voters_nearby = count == voter_counts.end() ? 0 : count->second;
    if (!data_centre.empty() && voters_nearby + 1 < highest_count &&
        this->hooks.check_promotion(learner)) {
      return ReplacementOf(*replaced, learner, "spreads the voters over the data centres");
    }
  }
  return std::nullopt;
}

std::optional<PlannedChange> MembershipPlanner::RemoveLostLearner(const RaftMembership& membership,
                                                                  TimePoint now) const {
  for (const HostId& learner : membership.learners) {
    if (this->HasBeenUnreachableFor(learner, this->settings.learner_removal_delay, now)) {
      return RemovalOf(learner, "unreachable learner");
    }
  }
  return std::nullopt;
}

}  // namespace sapphirecrank::cluster
