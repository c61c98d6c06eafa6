#include "cluster/membership_planner.h"

#include <CppUTest/TestHarness.h>

#include <set>

using namespace sapphirecrank;  // NOLINT(google-build-using-namespace)
using base::HostId;
using consensus::MembershipChange;

TEST_GROUP(MembershipPlanner) {
  base::TimePoint now{std::chrono::seconds(100)};
  cluster::MembershipPlanner planner{3, std::chrono::seconds(10)};
  consensus::RaftMembership membership;
  std::set<HostId> unreachable_hosts;

  void setup() override {
    this->membership.voters = {HostId("a/first"), HostId("b/first"), HostId("c/first")};
  }

  std::optional<MembershipChange> NextChange() {
    const auto planned = this->planner.NextChange(
        this->membership, this->now,
        [this](const HostId& host) { return this->unreachable_hosts.count(host) == 0; });
    return planned ? std::make_optional(planned->change) : std::nullopt;
  }
};

// Guards against needless changes of a group that has enough reachable voters.
TEST(MembershipPlanner, DoesNotChangeACompleteGroup) {
  CHECK_FALSE(this->NextChange().has_value());
}

// Guards against a host with an empty disk that still counts as the voter whose log is lost.
TEST(MembershipPlanner, ReplacesAVoterThatHasLostItsDisk) {
  this->planner.OnJoinRequest(HostId("c/new"), this->now);
  const auto removal = this->NextChange();
  CHECK(removal->kind == MembershipChange::Kind::kRemoveMember);
  CHECK(removal->host == HostId("c/first"));
  this->membership.voters.erase(HostId("c/first"));
  const auto addition = this->NextChange();
  CHECK(addition->kind == MembershipChange::Kind::kAddLearner);
  CHECK(addition->host == HostId("c/new"));
  this->membership.learners.insert(HostId("c/new"));
  const auto promotion = this->NextChange();
  CHECK(promotion->kind == MembershipChange::Kind::kPromoteLearner);
  CHECK(promotion->host == HostId("c/new"));
}

// Guards against removal of a voter that is unreachable for a short time or that no learner can
// replace, and against a lost voter that is never replaced.
TEST(MembershipPlanner, ReplacesALostVoterOnlyAfterTheDelayAndWithALearner) {
  this->unreachable_hosts.insert(HostId("c"));
  this->NextChange();
  this->now += std::chrono::seconds(11);
  CHECK_FALSE(this->NextChange().has_value());
  this->membership.learners.insert(HostId("d/new"));
  const auto removal = this->NextChange();
  CHECK(removal->kind == MembershipChange::Kind::kRemoveMember);
  CHECK(removal->host == HostId("c/first"));
}

// Guards against more voters than needed, which make each commit slower.
TEST(MembershipPlanner, KeepsSurplusHostsAsLearners) {
  this->planner.OnJoinRequest(HostId("d/new"), this->now);
  CHECK(this->NextChange()->kind == MembershipChange::Kind::kAddLearner);
  this->membership.learners.insert(HostId("d/new"));
  CHECK_FALSE(this->NextChange().has_value());
}
