#include "tests/consensus/raft_cluster.h"

#include <CppUTest/TestHarness.h>

using sapphirecrank::base::Term;
using sapphirecrank::consensus::MembershipChange;
using sapphirecrank::consensus::RaftCluster;
using sapphirecrank::consensus::RaftRole;
using sapphirecrank::consensus::RaftSettings;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(RaftCluster) {
  std::unique_ptr<RaftCluster> cluster;

  void StartCluster(int voters, int hosts, const RaftSettings& settings = RaftSettings()) {
    cluster = std::make_unique<RaftCluster>(7, voters, hosts, settings);
    CHECK(WaitForLease());
  }

  // Waits until a host holds the leader lease.
  bool WaitForLease() {
    return cluster->RunUntil(
        [this] {
          int leader = cluster->Leader();
          return leader >= 0 && cluster->node(leader)->HasLeaderLease();
        },
        seconds(10));
  }

  // Proposes a command and returns whether all of `hosts` apply it within a second.
  bool CommitOn(const std::vector<int>& hosts) {
    if (cluster->Leader() < 0) {
      return false;
    }
    size_t expected = cluster->applied_commands(cluster->Leader()).size() + 1;
    cluster->Propose();
    return cluster->RunUntil(
        [&] {
          for (int host : hosts) {
            if (cluster->applied_commands(host).size() < expected) {
              return false;
            }
          }
          return true;
        },
        seconds(1));
  }

  // Starts a membership change as soon as a leader accepts it.
  bool ChangeMembership(MembershipChange::Kind kind, int host, int replaced = -1) {
    MembershipChange change{kind, RaftCluster::HostName(host), RaftCluster::HostName(replaced)};
    return cluster->RunUntil(
        [&] {
          int leader = cluster->Leader();
          return leader >= 0 && cluster->node(leader)->ChangeMembership(change).has_value();
        },
        seconds(5));
  }

  void CheckNoViolations() {
    for (const std::string& violation : cluster->violations()) {
      FAIL(violation.c_str());
    }
  }
};

// Guards against a group without a quorum when another host crashes right after a crashed voter was
// replaced.
TEST(RaftCluster, SecondHostCrashesRightAfterVoterReplacement) {
  StartCluster(3, 4);
  CHECK(CommitOn({0, 1, 2}));
  int first_crashed = cluster->Leader();
  cluster->Crash(first_crashed);
  CHECK(WaitForLease());
  CHECK(ChangeMembership(MembershipChange::Kind::kAddLearner, 3));
  CHECK(ChangeMembership(MembershipChange::Kind::kPromoteLearner, 3));
  CHECK(ChangeMembership(MembershipChange::Kind::kRemoveMember, first_crashed));
  CHECK(CommitOn({3}));
  int second_crashed = (first_crashed + 1) % 3;
  cluster->Crash(second_crashed);
  CHECK(WaitForLease());
  int remaining = 3 - first_crashed - second_crashed;
  CHECK(CommitOn({remaining, 3}));
  CheckNoViolations();
}

// Guards against an isolated leader that keeps its lease and answers reads with old data, and
// against a new election when it returns.
TEST(RaftCluster, LeaderIsolatedForALongTime) {
  StartCluster(3, 3);
  int isolated = cluster->Leader();
  cluster->Isolate(isolated);
  cluster->Run(milliseconds(1200));
  CHECK(cluster->node(isolated)->Status().role != RaftRole::kLeader);
  CHECK_FALSE(cluster->node(isolated)->HasLeaderLease());
  CHECK(WaitForLease());
  for (int i = 0; i < 20; ++i) {
    CHECK(CommitOn({(isolated + 1) % 3, (isolated + 2) % 3}));
  }
  cluster->Run(seconds(600));
  auto staleness = cluster->clock().Now() - cluster->node(isolated)->Status().up_to_date_as_of;
  CHECK(staleness > seconds(600));
  CHECK(WaitForLease());
  Term term = cluster->node(cluster->Leader())->Status().term;
  cluster->HealNetwork();
  cluster->Run(seconds(2));
  CHECK(WaitForLease());
  CHECK(cluster->node(isolated)->Status().term == term);
  CHECK(cluster->applied_commands(isolated) == cluster->applied_commands(cluster->Leader()));
  CheckNoViolations();
}

// Guards against a group that never elects a leader again after a leader has crashed during its own
// removal: only its log is up to date enough to win an election, but its latest membership doesn't
// contain itself.
TEST(RaftCluster, LeaderThatRemovesItselfCrashes) {
  StartCluster(2, 2);
  int removed = cluster->Leader();
  cluster->Isolate(removed);
  CHECK(ChangeMembership(MembershipChange::Kind::kRemoveMember, removed));
  cluster->Run(milliseconds(20));
  cluster->Crash(removed);
  cluster->HealNetwork();
  cluster->Restart(removed);
  CHECK(cluster->RunUntil(
      [&] {
        int leader = cluster->Leader();
        return leader == 1 - removed && cluster->node(leader)->HasLeaderLease();
      },
      seconds(10)));
  CHECK(CommitOn({1 - removed}));
  CheckNoViolations();
}

// Guards against a host that lags far behind and never catches up, or gets the whole snapshot in
// one message.
TEST(RaftCluster, LaggingHostGetsTheSnapshotInChunks) {
  StartCluster(3, 3, RaftCluster::ShortLogs());
  int lagging = (cluster->Leader() + 1) % 3;
  cluster->Isolate(lagging);
  for (int i = 0; i < 60; ++i) {
    CHECK(CommitOn({cluster->Leader()}));
  }
  cluster->HealNetwork();
  CHECK(cluster->RunUntil(
      [&] {
        int leader = cluster->Leader();
        return leader >= 0 &&
               cluster->applied_commands(lagging) == cluster->applied_commands(leader);
      },
      seconds(2)));
  CHECK(cluster->sent_snapshot_chunks() > 2);
  CheckNoViolations();
}

// Guards against an election timeout without a leader when the leader shuts down.
TEST(RaftCluster, LeadershipTransferNeedsNoElectionTimeout) {
  StartCluster(3, 3);
  int old_leader = cluster->Leader();
  cluster->node(old_leader)->TransferLeadership();
  CHECK(cluster->RunUntil([&] { return cluster->Leader() != old_leader; }, milliseconds(100)));
  CheckNoViolations();
}

// Guards against a host with a failed disk that still counts for a quorum, or that stops applying
// commands.
TEST(RaftCluster, HostWithFailedDiskContinuesAsNonVoter) {
  StartCluster(3, 3);
  int failed_host = (cluster->Leader() + 1) % 3;
  int other = 3 - cluster->Leader() - failed_host;
  cluster->disk(failed_host).FailNextSync();
  CHECK(CommitOn({0, 1, 2}));
  CHECK_FALSE(cluster->node(failed_host)->Status().has_storage);
  CHECK(CommitOn({0, 1, 2}));
  cluster->Isolate(other);
  CHECK_FALSE(CommitOn({cluster->Leader()}));
  CheckNoViolations();
}

// Guards against a voter without which nothing can be committed, because it was promoted although
// it doesn't respond.
TEST(RaftCluster, LearnerThatDoesNotRespondIsNotPromoted) {
  StartCluster(3, 4);
  CHECK(ChangeMembership(MembershipChange::Kind::kAddLearner, 3));
  CHECK(CommitOn({0, 1, 2, 3}));
  cluster->Isolate(3);
  cluster->Run(milliseconds(600));
  MembershipChange promotion{MembershipChange::Kind::kPromoteLearner, RaftCluster::HostName(3),
                             RaftCluster::HostName(-1)};
  CHECK_FALSE(cluster->node(cluster->Leader())->ChangeMembership(promotion).has_value());
  cluster->HealNetwork();
  CHECK(ChangeMembership(MembershipChange::Kind::kPromoteLearner, 3));
  CheckNoViolations();
}

// Guards against a removed host that takes itself for a voter and doesn't ask to join again.
TEST(RaftCluster, RemovedHostLearnsOfItsRemoval) {
  StartCluster(3, 3);
  int removed = (cluster->Leader() + 1) % 3;
  CHECK(ChangeMembership(MembershipChange::Kind::kRemoveMember, removed));
  CHECK(cluster->RunUntil(
      [&] {
        auto status = cluster->node(removed)->Status();
        return status.membership.voters.count(RaftCluster::HostName(removed)) == 0 &&
               status.membership_index <= status.commit_index;
      },
      seconds(1)));
  CHECK(CommitOn({cluster->Leader()}));
  CheckNoViolations();
}

// Guards against a learner that names a leader that is gone, and answers operators with its
// address.
TEST(RaftCluster, LearnerForgetsALeaderThatIsSilent) {
  StartCluster(3, 4);
  CHECK(ChangeMembership(MembershipChange::Kind::kAddLearner, 3));
  CHECK(CommitOn({3}));
  CHECK_FALSE(cluster->node(3)->Status().leader.empty());
  cluster->Isolate(3);
  cluster->Run(seconds(2));
  CHECK(cluster->node(3)->Status().leader.empty());
  cluster->HealNetwork();
  CHECK(CommitOn({3}));
  CHECK_FALSE(cluster->node(3)->Status().leader.empty());
  CheckNoViolations();
}

// Guards against a replacement that can't be committed, and blocks all further changes, because the
// lost voter and its successor are both gone.
TEST(RaftCluster, ReplacementNeedsNeitherTheVoterNorItsSuccessor) {
  StartCluster(3, 4);
  int lost = (cluster->Leader() + 1) % 3;
  CHECK(ChangeMembership(MembershipChange::Kind::kAddLearner, 3));
  CHECK(CommitOn({0, 1, 2, 3}));
  cluster->Crash(lost);
  CHECK(ChangeMembership(MembershipChange::Kind::kReplaceVoter, 3, lost));
  cluster->Crash(3);
  CHECK(CommitOn({cluster->Leader()}));
  CHECK(cluster->RunUntil(
      [&] {
        auto status = cluster->node(cluster->Leader())->Status();
        return status.membership.outgoing_voters.empty() &&
               !status.membership.IsMember(RaftCluster::HostName(lost)) &&
               status.membership_index <= status.commit_index;
      },
      seconds(1)));
  CheckNoViolations();
}

// Guards against a leader that goes on leading after it was replaced, and against a group without a
// leader after that.
TEST(RaftCluster, ReplacedLeaderStepsDown) {
  StartCluster(3, 4);
  int replaced = cluster->Leader();
  CHECK(ChangeMembership(MembershipChange::Kind::kAddLearner, 3));
  CHECK(CommitOn({0, 1, 2, 3}));
  CHECK(ChangeMembership(MembershipChange::Kind::kReplaceVoter, 3, replaced));
  CHECK(cluster->RunUntil(
      [&] {
        int leader = cluster->Leader();
        return leader >= 0 && leader != replaced && cluster->node(leader)->HasLeaderLease();
      },
      seconds(5)));
  CHECK(cluster->node(replaced)->Status().role != RaftRole::kLeader);
  CHECK(CommitOn({3}));
  CheckNoViolations();
}

// Guards against a replacement that stays half done when its leader is lost between the two steps.
TEST(RaftCluster, NextLeaderFinishesAReplacement) {
  StartCluster(3, 4);
  int old_leader = cluster->Leader();
  int replaced = (old_leader + 1) % 3;
  CHECK(ChangeMembership(MembershipChange::Kind::kAddLearner, 3));
  CHECK(CommitOn({0, 1, 2, 3}));
  CHECK(ChangeMembership(MembershipChange::Kind::kReplaceVoter, 3, replaced));
  cluster->Run(milliseconds(10));
  cluster->Crash(old_leader);
  CHECK(cluster->RunUntil(
      [&] {
        int leader = cluster->Leader();
        return leader >= 0 && cluster->node(leader)->HasLeaderLease() &&
               cluster->node(leader)->Status().membership.outgoing_voters.empty();
      },
      seconds(5)));
  CHECK(CommitOn({cluster->Leader()}));
  CheckNoViolations();
}

// Guards against a group without a leader after the loss of one host: a learner got an uncommitted
// entry of that host and refuses its vote to the candidate in whose log it is a voter.
TEST(RaftCluster, LearnersGetCommittedEntriesOnly) {
  StartCluster(3, 4);
  int old_leader = cluster->Leader();
  CHECK(ChangeMembership(MembershipChange::Kind::kAddLearner, 3));
  cluster->Run(seconds(2));
  CHECK_EQUAL(old_leader, cluster->Leader());
  cluster->Isolate(old_leader);
  MembershipChange change{MembershipChange::Kind::kReplaceVoter, RaftCluster::HostName(3),
                          RaftCluster::HostName((old_leader + 1) % 3)};
  CHECK(cluster->node(old_leader)->ChangeMembership(change).has_value());
  CHECK(cluster->RunUntil([&] { return cluster->Leader() >= 0 && cluster->Leader() != old_leader; },
                          seconds(10)));
  int lost = cluster->Leader();
  int other = 3 - old_leader - lost;
  cluster->CutLink(lost, other);
  auto& messages = cluster->messages_in_flight();
  for (auto message = messages.begin(); message != messages.end();) {
    const bool is_cut = message->second.from == RaftCluster::HostName(lost) &&
                        message->second.to == RaftCluster::HostName(other);
    message = is_cut ? messages.erase(message) : std::next(message);
  }
  cluster->Run(milliseconds(50));
  cluster->Crash(lost);
  cluster->HealNetwork();
  CHECK(cluster->RunUntil(
      [&] {
        int leader = cluster->Leader();
        return leader >= 0 && cluster->node(leader)->HasLeaderLease();
      },
      seconds(60)));
  CheckNoViolations();
}

// Guards against hosts without disks that don't get committed entries, or that don't know how up to
// date they are.
TEST(RaftCluster, LearnersWithoutDisksStayUpToDate) {
  cluster = std::make_unique<RaftCluster>(7, 3, 5, RaftCluster::ShortLogs());
  for (int host : {3, 4}) {
    cluster->Crash(host);
    cluster->MakeDiskless(host);
    cluster->Restart(host);
  }
  CHECK(WaitForLease());
  CHECK(ChangeMembership(MembershipChange::Kind::kAddLearner, 3));
  CHECK(ChangeMembership(MembershipChange::Kind::kAddLearner, 4));
  for (int i = 0; i < 50; ++i) {
    CHECK(CommitOn({3, 4}));
  }
  cluster->Crash(3);
  cluster->Restart(3);
  CHECK(CommitOn({3, 4}));
  cluster->Run(seconds(1));
  for (int host : {3, 4}) {
    auto staleness = cluster->clock().Now() - cluster->node(host)->Status().up_to_date_as_of;
    CHECK(staleness < milliseconds(500));
  }
  CheckNoViolations();
}
