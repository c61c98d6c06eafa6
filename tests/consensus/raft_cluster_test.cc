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

  void Start(int voters, int hosts, const RaftSettings& settings = RaftSettings()) {
    cluster = std::make_unique<RaftCluster>(7, voters, hosts, settings);
    CHECK(Elect());
  }

  bool Elect() {
    return cluster->RunUntil(
        [this] {
          int leader = cluster->Leader();
          return leader >= 0 && cluster->node(leader)->HasLeaderLease();
        },
        seconds(10));
  }

  // Commits a command and returns whether every one of `hosts` has it within a second.
  bool Commit(const std::vector<int>& hosts) {
    if (cluster->Leader() < 0) {
      return false;
    }
    size_t expected = cluster->applied(cluster->Leader()).size() + 1;
    cluster->Propose();
    return cluster->RunUntil(
        [&] {
          for (int host : hosts) {
            if (cluster->applied(host).size() < expected) {
              return false;
            }
          }
          return true;
        },
        seconds(1));
  }

  bool Change(MembershipChange::Kind kind, int host) {
    MembershipChange change{kind, RaftCluster::Name(host)};
    return cluster->RunUntil(
        [&] {
          int leader = cluster->Leader();
          return leader >= 0 && cluster->node(leader)->ChangeMembership(change).has_value();
        },
        seconds(5));
  }

  void CheckSafe() {
    for (const std::string& violation : cluster->violations()) {
      FAIL(violation.c_str());
    }
  }
};

// Guards against a repair that leaves the group without a quorum when the next host dies.
TEST(RaftCluster, SecondHostLostRightAfterRepair) {
  Start(3, 4);
  CHECK(Commit({0, 1, 2}));
  int lost = cluster->Leader();
  cluster->Crash(lost);
  CHECK(Elect());
  CHECK(Change(MembershipChange::Kind::kAddLearner, 3));
  CHECK(Change(MembershipChange::Kind::kPromoteLearner, 3));
  CHECK(Change(MembershipChange::Kind::kRemoveMember, lost));
  CHECK(Commit({3}));
  int second = (lost + 1) % 3;
  cluster->Crash(second);
  CHECK(Elect());
  int third = 3 - lost - second;
  CHECK(Commit({third, 3}));
  CheckSafe();
}

// Guards against a leader that is cut off and goes on serving reads, and against its return
// disturbing the group.
TEST(RaftCluster, LongSilentIsolationOfTheLeader) {
  Start(3, 3);
  int isolated = cluster->Leader();
  cluster->Isolate(isolated);
  cluster->Run(milliseconds(1200));
  CHECK(cluster->node(isolated)->Status().role != RaftRole::kLeader);
  CHECK_FALSE(cluster->node(isolated)->HasLeaderLease());
  CHECK(Elect());
  for (int i = 0; i < 20; ++i) {
    CHECK(Commit({(isolated + 1) % 3, (isolated + 2) % 3}));
  }
  cluster->Run(seconds(600));
  auto behind = cluster->clock().Now() - cluster->node(isolated)->Status().up_to_date_as_of;
  CHECK(behind > seconds(600));
  CHECK(Elect());
  Term term = cluster->node(cluster->Leader())->Status().term;
  cluster->Heal();
  cluster->Run(seconds(2));
  CHECK(Elect());
  CHECK(cluster->node(isolated)->Status().term == term);
  CHECK(cluster->applied(isolated) == cluster->applied(cluster->Leader()));
  CheckSafe();
}

// Guards against a group that never leads again, because a leader crashed after it had started its
// own removal: its log is the longest, and it doesn't count itself as a voter any more.
TEST(RaftCluster, LeaderThatRemovesItselfCrashes) {
  Start(2, 2);
  int removed = cluster->Leader();
  cluster->Isolate(removed);
  CHECK(Change(MembershipChange::Kind::kRemoveMember, removed));
  cluster->Run(milliseconds(20));
  cluster->Crash(removed);
  cluster->Heal();
  cluster->Restart(removed);
  CHECK(cluster->RunUntil(
      [&] {
        int leader = cluster->Leader();
        return leader == 1 - removed && cluster->node(leader)->HasLeaderLease();
      },
      seconds(10)));
  CHECK(Commit({1 - removed}));
  CheckSafe();
}

// Guards against a host that is far behind and never catches up, or catches up by one huge message.
TEST(RaftCluster, SlowHostGetsTheSnapshotInChunks) {
  Start(3, 3, RaftCluster::ShortLogs());
  int slow = (cluster->Leader() + 1) % 3;
  cluster->Isolate(slow);
  for (int i = 0; i < 60; ++i) {
    CHECK(Commit({cluster->Leader()}));
  }
  cluster->Heal();
  CHECK(cluster->RunUntil(
      [&] {
        int leader = cluster->Leader();
        return leader >= 0 && cluster->applied(slow) == cluster->applied(leader);
      },
      seconds(2)));
  CHECK(cluster->sent_snapshot_chunks() > 2);
  CheckSafe();
}

// Guards against a shutdown of the leader that costs the group an election timeout.
TEST(RaftCluster, LeadershipIsHandedOverWithoutATimeout) {
  Start(3, 3);
  int old = cluster->Leader();
  cluster->node(old)->TransferLeadership();
  CHECK(cluster->RunUntil([&] { return cluster->Leader() != old; }, milliseconds(100)));
  CheckSafe();
}

// Guards against a host whose disk has failed and that still counts for a quorum, or is lost for
// reading.
TEST(RaftCluster, HostWithFailedDiskGoesOnAsNonVoter) {
  Start(3, 3);
  int failed = (cluster->Leader() + 1) % 3;
  int other = 3 - cluster->Leader() - failed;
  cluster->disk(failed).FailNextSync();
  CHECK(Commit({0, 1, 2}));
  CHECK_FALSE(cluster->node(failed)->Status().has_storage);
  CHECK(Commit({0, 1, 2}));
  cluster->Isolate(other);
  CHECK_FALSE(Commit({cluster->Leader()}));
  CheckSafe();
}

// Guards against hosts without disks that don't learn what is committed, or can't tell whether they
// are current.
TEST(RaftCluster, LearnersWithoutDisksStayCurrent) {
  cluster = std::make_unique<RaftCluster>(7, 3, 5, RaftCluster::ShortLogs());
  for (int host : {3, 4}) {
    cluster->Crash(host);
    cluster->MakeDiskless(host);
    cluster->Restart(host);
  }
  CHECK(Elect());
  CHECK(Change(MembershipChange::Kind::kAddLearner, 3));
  CHECK(Change(MembershipChange::Kind::kAddLearner, 4));
  for (int i = 0; i < 50; ++i) {
    CHECK(Commit({3, 4}));
  }
  cluster->Crash(3);
  cluster->Restart(3);
  CHECK(Commit({3, 4}));
  cluster->Run(seconds(1));
  for (int host : {3, 4}) {
    auto age = cluster->clock().Now() - cluster->node(host)->Status().up_to_date_as_of;
    CHECK(age < milliseconds(500));
  }
  CheckSafe();
}
