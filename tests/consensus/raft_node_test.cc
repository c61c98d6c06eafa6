#include "consensus/raft_node.h"

#include <CppUTest/TestHarness.h>

#include <memory>

#include "base/manual_clock.h"
#include "consensus/raft_disk_storage.h"
#include "tests/storage/faulty_file_system.h"

using sapphirecrank::base::Duration;
using sapphirecrank::base::HostId;
using sapphirecrank::base::Incarnation;
using sapphirecrank::base::LogIndex;
using sapphirecrank::base::ManualClock;
using sapphirecrank::base::Term;
using sapphirecrank::storage::FaultyFileSystem;
using std::chrono::milliseconds;
using namespace sapphirecrank::consensus;  // NOLINT(google-build-using-namespace)

namespace {

const HostId host0("h0");
const HostId host1("h1");
const HostId host2("h2");

}  // namespace

// One host of a group of three; the test plays the other two.
TEST_GROUP(RaftNode) {
  ManualClock clock;
  FaultyFileSystem files{1};
  std::unique_ptr<RaftDiskStorage> disk;
  std::unique_ptr<RaftNode> node;
  std::vector<RaftMessage> sent;
  RaftSettings settings;
  uint64_t incarnation = 0;

  void Start(bool with_disk = true) {
    node.reset();
    disk.reset();
    files.Crash();
    RaftMembership membership{{host0, host1, host2}, {}};
    RecoveredState recovered;
    recovered.snapshot.membership = membership;
    RaftNode::Hooks hooks;
    hooks.now = clock.AsClock();
    hooks.random_duration = [](Duration low, Duration) { return low; };
    hooks.send_message = [this](const RaftMessage& message) { sent.push_back(message); };
    hooks.apply_entry = [](const LogEntry&) {};
    hooks.take_snapshot = [] { return std::string(); };
    hooks.restore_snapshot = [](const RaftSnapshot&) {};
    if (with_disk) {
      auto opened = RaftDiskStorage::Open(files.Hooks(), "data", membership);
      CHECK(opened.has_value());
      disk = std::move(*opened);
      recovered = disk->recovered_state();
      hooks.storage = disk->MakeStorageHooks();
    }
    node = std::make_unique<RaftNode>(host0, Incarnation(++incarnation), settings, recovered,
                                      std::move(hooks));
  }

  // Passes a message in and returns what is sent because of it.
  std::vector<RaftMessage> Receive(const HostId& from, uint64_t term, RaftMessage::Body body) {
    sent.clear();
    node->ReceiveMessage(RaftMessage{from, host0, Term(term), std::move(body)});
    node->Flush();
    return sent;
  }

  void Wait(milliseconds time) {
    clock.Advance(time);
    node->Tick();
    node->Flush();
  }

  VoteRequest Candidate() {
    VoteRequest request;
    request.last_index = LogIndex(100);
    request.last_term = Term(100);
    return request;
  }

  AppendResponse Acknowledge(uint64_t index, uint64_t round, bool durable = true) {
    AppendResponse answer;
    answer.accepted = true;
    answer.index = LogIndex(index);
    answer.durable = durable;
    answer.heartbeat_round = sapphirecrank::base::SequenceNumber(round);
    return answer;
  }

  // Wins the election of the given term.
  void Lead(uint64_t term) {
    Wait(settings.minimum_election_timeout.count() > 0 ? milliseconds(500) : milliseconds(0));
    Receive(host1, term, VoteResponse{true, true});
    Receive(host1, term, VoteResponse{false, true});
    CHECK(node->Status().role == RaftRole::kLeader);
  }

  bool Granted(const std::vector<RaftMessage>& messages) {
    for (const RaftMessage& message : messages) {
      const auto* answer = std::get_if<VoteResponse>(&message.body);
      if (answer != nullptr && answer->granted) {
        return true;
      }
    }
    return false;
  }
};

// Guards against two votes in one term, with a restart between them, when the term itself was
// already on the disk.
TEST(RaftNode, VoteSurvivesRestart) {
  Start();
  Wait(milliseconds(10));
  Receive(host2, 5, AppendResponse());
  CHECK(node->Status().term == Term(5));
  clock.Advance(milliseconds(600));
  CHECK_TRUE(Granted(Receive(host1, 5, Candidate())));
  Start();
  clock.Advance(milliseconds(600));
  CHECK_FALSE(Granted(Receive(host2, 5, Candidate())));
  CHECK_TRUE(Granted(Receive(host1, 5, Candidate())));
}

// Guards against committing an entry of an older term because a quorum holds it: a later leader
// could still replace it.
TEST(RaftNode, OlderTermIsNotCommittedByCounting) {
  Start();
  AppendRequest request;
  LogEntry entry;
  entry.index = LogIndex(1);
  entry.term = Term(2);
  request.entries.push_back(entry);
  Receive(host1, 2, request);
  Lead(3);
  Receive(host2, 3, Acknowledge(1, 0));
  CHECK(node->Status().commit_index == LogIndex(0));
  Receive(host2, 3, Acknowledge(2, 0));
  CHECK(node->Status().commit_index == LogIndex(2));
}

// Guards against a cut-off host that returns with a higher term and deposes a working leader, whose
// lease relies on this.
TEST(RaftNode, HearingFromALeaderIgnoresCandidates) {
  Start();
  clock.Advance(milliseconds(600));
  Receive(host1, 5, AppendRequest());
  clock.Advance(milliseconds(499));
  LONGS_EQUAL(0, Receive(host2, 6, Candidate()).size());
  CHECK(node->Status().term == Term(5));
  clock.Advance(milliseconds(1));
  CHECK_TRUE(Granted(Receive(host2, 6, Candidate())));
}

// Guards against a vote right after a restart, when the host has forgotten that it has just
// confirmed a leader's lease.
TEST(RaftNode, RestartedHostWaitsBeforeItVotes) {
  Start();
  clock.Advance(milliseconds(600));
  Receive(host1, 5, AppendRequest());
  Start();
  CHECK_FALSE(Granted(Receive(host2, 6, Candidate())));
}

// Guards against a lease that holds while the host that was asked to take over is elected.
TEST(RaftNode, LeaseEndsWithTransferForTheRestOfTheTerm) {
  Start();
  Lead(1);
  Receive(host1, 1, Acknowledge(1, 1));
  CHECK_TRUE(node->HasLeaderLease());
  node->TransferLeadership();
  CHECK_FALSE(node->Propose("refused").has_value());
  node->Flush();
  CHECK(std::holds_alternative<TimeoutNow>(sent.back().body));
  CHECK_FALSE(node->HasLeaderLease());
  for (uint64_t round = 2; round < 20; ++round) {
    Wait(milliseconds(100));
    Receive(host1, 1, Acknowledge(1, round));
  }
  CHECK_FALSE(node->HasLeaderLease());
  CHECK(node->Propose("accepted again").has_value());
}

// Guards against two quorums that don't meet: a change before the leader knows what was committed,
// or on top of one that isn't committed.
TEST(RaftNode, MembershipChangesOneAtATimeAndNotBeforeOwnCommit) {
  Start();
  Lead(1);
  MembershipChange change;
  change.host = HostId("h3");
  CHECK_FALSE(node->ChangeMembership(change).has_value());
  Receive(host1, 1, Acknowledge(1, 1));
  CHECK(node->ChangeMembership(change).has_value());
  change.host = HostId("h4");
  CHECK_FALSE(node->ChangeMembership(change).has_value());
  Receive(host1, 1, Acknowledge(2, 1));
  CHECK(node->ChangeMembership(change).has_value());
}

// Guards against a voter whose acknowledgements don't survive a restart.
TEST(RaftNode, LearnerWithoutStorageIsNotPromoted) {
  Start();
  Lead(1);
  Receive(host1, 1, Acknowledge(1, 1));
  MembershipChange change;
  change.host = HostId("h3");
  CHECK(node->ChangeMembership(change).has_value());
  Receive(host1, 1, Acknowledge(2, 1));
  Receive(HostId("h3"), 1, Acknowledge(2, 1, false));
  change.kind = MembershipChange::Kind::kPromoteLearner;
  CHECK_FALSE(node->ChangeMembership(change).has_value());
  Receive(HostId("h3"), 1, Acknowledge(2, 1, true));
  CHECK(node->ChangeMembership(change).has_value());
}

// Guards against a host without a disk that votes or campaigns, and against acknowledgements of it
// that count as durable.
TEST(RaftNode, HostWithoutStorageOnlyReplicates) {
  Start(false);
  Wait(milliseconds(2000));
  LONGS_EQUAL(0, sent.size());
  LONGS_EQUAL(0, Receive(host1, 5, Candidate()).size());
  auto messages = Receive(host1, 5, AppendRequest());
  const auto* answer = std::get_if<AppendResponse>(&messages.at(0).body);
  CHECK(answer != nullptr && answer->accepted && !answer->durable);
}

// Guards against entries that were never committed and stay behind a received snapshot.
TEST(RaftNode, SnapshotReplacesAConflictingLog) {
  Start();
  AppendRequest request;
  for (uint64_t i = 1; i <= 30; ++i) {
    LogEntry entry;
    entry.index = LogIndex(i);
    entry.term = Term(1);
    request.entries.push_back(entry);
  }
  Receive(host1, 1, request);
  CHECK(node->Status().last_index == LogIndex(30));
  SnapshotChunk chunk;
  chunk.index = LogIndex(20);
  chunk.term = Term(2);
  chunk.membership = node->Status().membership;
  chunk.is_last = true;
  Receive(host2, 3, chunk);
  CHECK(node->Status().last_index == LogIndex(20));
  Start();
  CHECK(node->Status().last_index == LogIndex(20));
}
