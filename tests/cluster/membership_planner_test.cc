#include "cluster/membership_planner.h"

#include <CppUTest/TestHarness.h>

#include <map>
#include <set>

using namespace sapphirecrank;  // NOLINT(google-build-using-namespace)
using base::HostId;
using consensus::MembershipChange;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(MembershipPlanner) {
  base::TimePoint now{seconds(100)};
  consensus::RaftMembership membership;
  std::set<HostId> unreachable_hosts;
  std::set<HostId> leaving_hosts;
  std::set<HostId> lagging_learners;
  std::map<HostId, base::DataCentreId> data_centres;
  std::string delay_reason;
  // Of the voter "c".
  base::Duration silence{0};
  cluster::MembershipPlanner planner{{3, seconds(1), seconds(4)}, this->MakeHooks()};

  void setup() override {
    this->membership.voters = {HostId("a/first"), HostId("b/first"), HostId("c/first")};
    for (const char* host : {"a", "b", "c", "d", "e"}) {
      this->data_centres[HostId(host)] = base::DataCentreId(std::string("dc-") + host);
    }
  }

  cluster::MembershipPlanner::Hooks MakeHooks() {
    cluster::MembershipPlanner::Hooks hooks;
    hooks.is_reachable = [this](const HostId& host) {
      return this->unreachable_hosts.count(host) == 0;
    };
    hooks.silence = [this](const HostId& member) {
      return member == HostId("c/first") ? this->silence : base::Duration(0);
    };
    hooks.is_leaving = [this](const HostId& host) { return this->leaving_hosts.count(host) != 0; };
    hooks.data_centre = [this](const HostId& host) { return this->data_centres[host]; };
    hooks.check_promotion = [this](const HostId& learner) -> base::Result<void> {
      if (this->lagging_learners.count(learner) != 0) {
        return base::MakeErrorResult(base::ErrorCode::kInvalidArgument, "it lags");
      }
      return {};
    };
    hooks.on_promotion_delayed = [this](const HostId& /*learner*/, const std::string& reason) {
      this->delay_reason = reason;
    };
    return hooks;
  }

  /// Returns the change that the leader "a" plans now.
  std::optional<MembershipChange> NextChange() {
    this->planner.ObserveMembers(this->membership, this->now);
    const auto planned = this->planner.NextChange(HostId("a/first"), this->membership, this->now);
    return planned ? std::make_optional(planned->change) : std::nullopt;
  }

  void RunFor(base::Duration duration) {
    const base::TimePoint end = this->now + duration;
    while (this->now < end) {
      this->now += milliseconds(100);
      this->planner.ObserveMembers(this->membership, this->now);
    }
  }

  void CheckNextChange(MembershipChange::Kind kind, const char* member,
                       const char* replaced_voter = "") {
    const auto change = this->NextChange();
    CHECK_TRUE(change.has_value());
    CHECK(change->kind == kind);
    STRCMP_EQUAL(member, change->host.value().c_str());
    STRCMP_EQUAL(replaced_voter, change->replaced_voter.value().c_str());
  }
};

// Guards against needless changes of a group that has enough reachable voters.
TEST(MembershipPlanner, DoesNotChangeACompleteGroup) {
  CHECK_FALSE(this->NextChange().has_value());
}

// Guards against a host with an empty disk that still counts as the voter whose log is lost.
TEST(MembershipPlanner, ReplacesAVoterThatHasLostItsDisk) {
  this->planner.OnJoinRequest(HostId("c/new"), this->now);
  this->CheckNextChange(MembershipChange::Kind::kRemoveMember, "c/first");
  this->membership.voters.erase(HostId("c/first"));
  this->CheckNextChange(MembershipChange::Kind::kAddLearner, "c/new");
  this->membership.learners.insert(HostId("c/new"));
  this->CheckNextChange(MembershipChange::Kind::kPromoteLearner, "c/new");
}

// Guards against a host with a new disk that is taken for the one with the old disk, because that
// one had asked to join shortly before.
TEST(MembershipPlanner, TheLatestJoinRequestOfAHostNamesItsDisk) {
  this->planner.OnJoinRequest(HostId("c/first"), this->now);
  this->RunFor(milliseconds(500));
  this->planner.OnJoinRequest(HostId("c/new"), this->now);
  this->membership.learners.insert(HostId("c/new"));
  this->CheckNextChange(MembershipChange::Kind::kRemoveMember, "c/first");
  this->membership.voters.erase(HostId("c/first"));
  this->CheckNextChange(MembershipChange::Kind::kPromoteLearner, "c/new");
}

// Guards against a voter that is replaced because it was unreachable for a moment or although no
// learner can take its vote, and against a lost voter that is never replaced.
TEST(MembershipPlanner, ReplacesALostVoterOnlyAfterTheDelayAndWithALearner) {
  this->NextChange();
  this->unreachable_hosts.insert(HostId("c"));
  this->RunFor(seconds(2));
  CHECK_FALSE(this->NextChange().has_value());
  this->unreachable_hosts.clear();
  this->RunFor(milliseconds(100));
  this->unreachable_hosts.insert(HostId("c"));
  this->membership.learners.insert(HostId("d/new"));
  this->RunFor(milliseconds(900));
  CHECK_FALSE(this->NextChange().has_value());
  this->RunFor(milliseconds(100));
  this->CheckNextChange(MembershipChange::Kind::kReplaceVoter, "d/new", "c/first");
  this->membership.outgoing_voters = this->membership.voters;
  CHECK_FALSE(this->NextChange().has_value());
}

// Guards against a new leader that lets the delay begin anew.
TEST(MembershipPlanner, CountsTheTimeBeforeItsLeadership) {
  this->RunFor(seconds(1));
  this->unreachable_hosts.insert(HostId("c"));
  this->membership.learners.insert(HostId("d/new"));
  this->RunFor(seconds(2));
  this->CheckNextChange(MembershipChange::Kind::kReplaceVoter, "d/new", "c/first");
}

// Guards against a leader that stood still and takes all other voters for lost.
TEST(MembershipPlanner, CountsNoTimeForWhichThisHostStoodStill) {
  this->RunFor(seconds(1));
  this->membership.learners.insert(HostId("d/new"));
  this->now += seconds(20);
  this->unreachable_hosts.insert(HostId("c"));
  CHECK_FALSE(this->NextChange().has_value());
}

// Guards against a voter that doesn't have the log yet, without which nothing could be committed.
TEST(MembershipPlanner, PromotesOnlyALearnerThatHasTheLog) {
  this->NextChange();
  this->unreachable_hosts.insert(HostId("c"));
  this->membership.learners = {HostId("d/new"), HostId("e/new")};
  this->lagging_learners = {HostId("d/new")};
  this->RunFor(seconds(2));
  this->CheckNextChange(MembershipChange::Kind::kReplaceVoter, "e/new", "c/first");
  this->lagging_learners.insert(HostId("e/new"));
  CHECK_FALSE(this->NextChange().has_value());
  STRCMP_EQUAL("it lags", this->delay_reason.c_str());
}

// Guards against a host that stops for good while its vote still counts.
TEST(MembershipPlanner, ReplacesAVoterThatIsStopping) {
  this->leaving_hosts.insert(HostId("b"));
  CHECK_FALSE(this->NextChange().has_value());
  this->membership.learners.insert(HostId("d/new"));
  this->CheckNextChange(MembershipChange::Kind::kReplaceVoter, "d/new", "b/first");
}

// Guards against a leader that replaces itself, so that the group has no leader until an election.
TEST(MembershipPlanner, AStoppingLeaderIsReplacedByTheNextOne) {
  this->leaving_hosts.insert(HostId("a"));
  this->membership.learners.insert(HostId("d/new"));
  CHECK_FALSE(this->NextChange().has_value());
}

// Guards against a host that joins again while it is stopping, after its vote was handed over.
TEST(MembershipPlanner, AddsNoHostThatIsStopping) {
  this->leaving_hosts.insert(HostId("d"));
  this->planner.OnJoinRequest(HostId("d/new"), this->now);
  CHECK_FALSE(this->NextChange().has_value());
}

// Guards against a lost voter that counts as reachable because another host has its address.
TEST(MembershipPlanner, ReplacesAVoterWhoseAddressAnotherHostHas) {
  this->NextChange();
  this->membership.learners.insert(HostId("d/new"));
  this->silence = seconds(2);
  this->RunFor(milliseconds(1100));
  this->CheckNextChange(MembershipChange::Kind::kReplaceVoter, "d/new", "c/first");
}

// Guards against the removal of a voter that works while another one, which is unreachable, may be
// the one that is lost.
TEST(MembershipPlanner, RemovesNoReachableVoterWhileAnotherIsUnreachable) {
  this->NextChange();
  this->membership.voters.insert(HostId("d/new"));
  this->unreachable_hosts.insert(HostId("c"));
  this->RunFor(milliseconds(300));
  CHECK_FALSE(this->NextChange().has_value());
  this->unreachable_hosts.clear();
  CHECK(this->NextChange()->kind == MembershipChange::Kind::kRemoveMember);
}

// Guards against more voters than needed, which make each commit slower.
TEST(MembershipPlanner, KeepsSurplusHostsAsLearners) {
  this->planner.OnJoinRequest(HostId("d/new"), this->now);
  CHECK(this->NextChange()->kind == MembershipChange::Kind::kAddLearner);
  this->membership.learners.insert(HostId("d/new"));
  CHECK_FALSE(this->NextChange().has_value());
}

// Guards against a data centre whose loss takes the majority with it, after its hosts have replaced
// those of others.
TEST(MembershipPlanner, SpreadsTheVotersOverTheDataCentres) {
  this->data_centres[HostId("b")] = this->data_centres[HostId("a")];
  this->data_centres[HostId("d")] = this->data_centres[HostId("a")];
  this->membership.learners = {HostId("d/new")};
  CHECK_FALSE(this->NextChange().has_value());
  this->membership.learners.insert(HostId("e/new"));
  this->CheckNextChange(MembershipChange::Kind::kReplaceVoter, "e/new", "b/first");
  this->membership.learners.erase(HostId("e/new"));
  this->membership.voters.insert(HostId("e/new"));
  this->membership.voters.erase(HostId("b/first"));
  CHECK_FALSE(this->NextChange().has_value());
}

// Guards against a group that moves its votes back and forth between two data centres.
TEST(MembershipPlanner, LeavesVotersThatCannotBeSpreadBetter) {
  this->data_centres[HostId("c")] = this->data_centres[HostId("a")];
  this->data_centres[HostId("d")] = this->data_centres[HostId("a")];
  this->data_centres[HostId("e")] = this->data_centres[HostId("b")];
  this->membership.learners = {HostId("d/new"), HostId("e/new")};
  CHECK_FALSE(this->NextChange().has_value());
}

// Guards against a membership that grows with each host that never returns.
TEST(MembershipPlanner, RemovesLearnersThatAreGone) {
  this->membership.learners.insert(HostId("d/new"));
  this->NextChange();
  this->unreachable_hosts.insert(HostId("d"));
  this->RunFor(seconds(3));
  CHECK_FALSE(this->NextChange().has_value());
  this->RunFor(seconds(2));
  this->CheckNextChange(MembershipChange::Kind::kRemoveMember, "d/new");
}
