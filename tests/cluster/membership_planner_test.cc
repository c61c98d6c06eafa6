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
  std::set<HostId> down;

  void setup() override {
    this->membership.voters = {HostId("a/first"), HostId("b/first"), HostId("c/first")};
  }

  std::optional<MembershipChange> Next() {
    return this->planner.NextChange(this->membership, this->now, [this](const HostId& host) {
      return this->down.count(host) == 0;
    });
  }
};

// Guards against changes of a group that is complete.
TEST(MembershipPlanner, LeavesACompleteGroupAlone) { CHECK_FALSE(this->Next().has_value()); }

// Guards against a blank disk that counts as the voter whose log it has lost.
TEST(MembershipPlanner, ReplacesAVoterThatHasLostItsDisk) {
  this->planner.OnJoinRequest(HostId("c/new"), this->now);
  const auto remove = this->Next();
  CHECK(remove->kind == MembershipChange::Kind::kRemoveMember);
  CHECK(remove->host == HostId("c/first"));
  this->membership.voters.erase(HostId("c/first"));
  const auto add = this->Next();
  CHECK(add->kind == MembershipChange::Kind::kAddLearner);
  CHECK(add->host == HostId("c/new"));
  this->membership.learners.insert(HostId("c/new"));
  const auto promote = this->Next();
  CHECK(promote->kind == MembershipChange::Kind::kPromoteLearner);
  CHECK(promote->host == HostId("c/new"));
}

// Guards against a group that shrinks for a host that is away for a moment, and against one that
// waits for ever for a host that is gone.
TEST(MembershipPlanner, ReplacesALostVoterOnlyAfterAWhileAndWithASpare) {
  this->down.insert(HostId("c"));
  this->Next();
  this->now += std::chrono::seconds(11);
  CHECK_FALSE(this->Next().has_value());
  this->membership.learners.insert(HostId("d/new"));
  const auto remove = this->Next();
  CHECK(remove->kind == MembershipChange::Kind::kRemoveMember);
  CHECK(remove->host == HostId("c/first"));
}

// Guards against more voters than needed, which make each change slower.
TEST(MembershipPlanner, KeepsFurtherHostsAsLearners) {
  this->planner.OnJoinRequest(HostId("d/new"), this->now);
  CHECK(this->Next()->kind == MembershipChange::Kind::kAddLearner);
  this->membership.learners.insert(HostId("d/new"));
  CHECK_FALSE(this->Next().has_value());
}
