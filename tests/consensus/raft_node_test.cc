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

// Runs one host of a group of three; the test sends the messages of the other two.
TEST_GROUP(RaftNode) {
  ManualClock clock;
  FaultyFileSystem file_system{1};
  std::unique_ptr<RaftDiskStorage> disk_storage;
  std::unique_ptr<RaftNode> node;
  std::vector<RaftMessage> sent_messages;
  RaftSettings settings;
  uint64_t incarnation = 0;

  // Starts the node anew, from its disk if it has one.
  void RestartNode(bool with_storage = true) {
    node.reset();
    disk_storage.reset();
    file_system.Crash();
    RaftMembership membership{{host0, host1, host2}, {}, {}};
    RecoveredState recovered;
    recovered.snapshot.membership = membership;
    RaftNode::Hooks hooks;
    hooks.now = clock.AsClock();
    hooks.random_duration = [](Duration low, Duration) { return low; };
    hooks.send_message = [this](const RaftMessage& message) { sent_messages.push_back(message); };
    hooks.apply_entry = [](const LogEntry&) {};
    hooks.take_snapshot = [] { return std::string(); };
    hooks.restore_snapshot = [](const RaftSnapshot&) {};
    if (with_storage) {
      auto opened = RaftDiskStorage::Open(file_system.MakeFileSystem(), "data", membership);
      CHECK(opened.has_value());
      disk_storage = std::move(*opened);
      recovered = disk_storage->recovered_state();
      hooks.storage = disk_storage->MakeStorageHooks();
    }
    node = std::make_unique<RaftNode>(host0, Incarnation(++incarnation), settings, recovered,
                                      std::move(hooks));
  }

  // Passes a message to the node and returns the messages that it sends in response.
  std::vector<RaftMessage> Receive(const HostId& from, uint64_t term, RaftMessage::Body body) {
    sent_messages.clear();
    node->ReceiveMessage(RaftMessage{from, host0, Term(term), std::move(body)});
    node->Flush();
    return sent_messages;
  }

  void AdvanceAndTick(milliseconds time) {
    clock.Advance(time);
    node->Tick();
    node->Flush();
  }

  // Returns the request of a candidate whose log is more up to date than the node's.
  VoteRequest UpToDateVoteRequest() {
    VoteRequest request;
    request.last_index = LogIndex(100);
    request.last_term = Term(100);
    return request;
  }

  AppendResponse AcceptedResponse(uint64_t index, uint64_t round, bool durable = true) {
    AppendResponse response;
    response.accepted = true;
    response.index = LogIndex(index);
    response.durable = durable;
    response.heartbeat_round = sapphirecrank::base::SequenceNumber(round);
    return response;
  }

  // Makes the node win the election of `term`.
  void WinElection(uint64_t term) {
    AdvanceAndTick(settings.minimum_election_timeout.count() > 0 ? milliseconds(500)
                                                                 : milliseconds(0));
    Receive(host1, term, VoteResponse{true, true});
    Receive(host1, term, VoteResponse{false, true});
    CHECK(node->Status().role == RaftRole::kLeader);
  }

  bool ContainsGrantedVote(const std::vector<RaftMessage>& messages) {
    for (const RaftMessage& message : messages) {
      const auto* response = std::get_if<VoteResponse>(&message.body);
      if (response != nullptr && response->granted) {
        return true;
      }
    }
    return false;
  }
};

// Guards against votes for two candidates in one term, one before and one after a restart. The term
// is stored before the first vote, so the vote alone has to be written.
TEST(RaftNode, VoteSurvivesRestart) {
  RestartNode();
  AdvanceAndTick(milliseconds(10));
  Receive(host2, 5, AppendResponse());
  CHECK(node->Status().term == Term(5));
  clock.Advance(milliseconds(600));
  CHECK_TRUE(ContainsGrantedVote(Receive(host1, 5, UpToDateVoteRequest())));
  RestartNode();
  clock.Advance(milliseconds(600));
  CHECK_FALSE(ContainsGrantedVote(Receive(host2, 5, UpToDateVoteRequest())));
  CHECK_TRUE(ContainsGrantedVote(Receive(host1, 5, UpToDateVoteRequest())));
}

// Guards against committing an entry of an older term as soon as a quorum has it: a later leader
// may still replace it.
TEST(RaftNode, EntryOfOlderTermIsNotCommittedByCountingReplicas) {
  RestartNode();
  AppendRequest request;
  LogEntry entry;
  entry.index = LogIndex(1);
  entry.term = Term(2);
  request.entries.push_back(entry);
  Receive(host1, 2, request);
  WinElection(3);
  Receive(host2, 3, AcceptedResponse(1, 0));
  CHECK(node->Status().commit_index == LogIndex(0));
  Receive(host2, 3, AcceptedResponse(2, 0));
  CHECK(node->Status().commit_index == LogIndex(2));
}

// Guards against a host that was cut off, returns with a higher term and deposes a working leader.
// The leader's lease relies on this not happening.
TEST(RaftNode, HostThatHearsFromALeaderIgnoresCandidates) {
  RestartNode();
  clock.Advance(milliseconds(600));
  Receive(host1, 5, AppendRequest());
  clock.Advance(milliseconds(499));
  LONGS_EQUAL(0, Receive(host2, 6, UpToDateVoteRequest()).size());
  CHECK(node->Status().term == Term(5));
  clock.Advance(milliseconds(1));
  CHECK_TRUE(ContainsGrantedVote(Receive(host2, 6, UpToDateVoteRequest())));
}

// Guards against a vote right after a restart: the host doesn't know any more that it has just
// confirmed a leader's lease.
TEST(RaftNode, RestartedHostWaitsBeforeItVotes) {
  RestartNode();
  clock.Advance(milliseconds(600));
  Receive(host1, 5, AppendRequest());
  RestartNode();
  CHECK_FALSE(ContainsGrantedVote(Receive(host2, 6, UpToDateVoteRequest())));
}

// Guards against a leader lease that is still valid while the host that was asked to take over wins
// its election.
TEST(RaftNode, LeadershipTransferRevokesTheLeaseForTheTerm) {
  RestartNode();
  WinElection(1);
  Receive(host1, 1, AcceptedResponse(1, 1));
  CHECK_TRUE(node->HasLeaderLease());
  node->TransferLeadership();
  CHECK_FALSE(node->Propose("refused").has_value());
  node->Flush();
  CHECK(std::holds_alternative<TimeoutNow>(sent_messages.back().body));
  CHECK_FALSE(node->HasLeaderLease());
  for (uint64_t round = 2; round < 20; ++round) {
    AdvanceAndTick(milliseconds(100));
    Receive(host1, 1, AcceptedResponse(1, round));
  }
  CHECK_FALSE(node->HasLeaderLease());
  CHECK(node->Propose("accepted again").has_value());
}

// Guards against quorums that don't overlap. They are possible if a membership change starts before
// the leader has committed an entry in its term, or before the previous change is committed.
TEST(RaftNode, MembershipChangesOneAtATimeAndNotBeforeCommitInTerm) {
  RestartNode();
  WinElection(1);
  MembershipChange change;
  change.host = HostId("h3");
  CHECK_FALSE(node->ChangeMembership(change).has_value());
  Receive(host1, 1, AcceptedResponse(1, 1));
  CHECK(node->ChangeMembership(change).has_value());
  change.host = HostId("h4");
  CHECK_FALSE(node->ChangeMembership(change).has_value());
  Receive(host1, 1, AcceptedResponse(2, 1));
  CHECK(node->ChangeMembership(change).has_value());
}

// Guards against a voter that loses acknowledged entries when it restarts.
TEST(RaftNode, LearnerWithoutStorageIsNotPromoted) {
  RestartNode();
  WinElection(1);
  Receive(host1, 1, AcceptedResponse(1, 1));
  MembershipChange change;
  change.host = HostId("h3");
  CHECK(node->ChangeMembership(change).has_value());
  Receive(host1, 1, AcceptedResponse(2, 1));
  Receive(HostId("h3"), 1, AcceptedResponse(2, 1, false));
  change.kind = MembershipChange::Kind::kPromoteLearner;
  CHECK_FALSE(node->ChangeMembership(change).has_value());
  Receive(HostId("h3"), 1, AcceptedResponse(2, 1, true));
  CHECK(node->ChangeMembership(change).has_value());
}

// Guards against a voter that gets a large part of the log over a slow link when the next loss is
// allowed.
TEST(RaftNode, LearnerThatMissesLargeEntriesIsNotPromoted) {
  RestartNode();
  WinElection(1);
  Receive(host1, 1, AcceptedResponse(1, 1));
  MembershipChange change;
  change.host = HostId("h3");
  CHECK(node->ChangeMembership(change).has_value());
  Receive(host1, 1, AcceptedResponse(2, 1));
  Receive(HostId("h3"), 1, AcceptedResponse(2, 1, true));
  CHECK(node->Propose(std::string(1100000, 'x')).has_value());
  change.kind = MembershipChange::Kind::kPromoteLearner;
  CHECK_FALSE(node->ChangeMembership(change).has_value());
  Receive(HostId("h3"), 1, AcceptedResponse(3, 1, true));
  CHECK(node->ChangeMembership(change).has_value());
}

// Guards against a host without a disk that votes, campaigns, or acknowledges entries as durable.
TEST(RaftNode, HostWithoutStorageOnlyReplicates) {
  RestartNode(false);
  AdvanceAndTick(milliseconds(2000));
  LONGS_EQUAL(0, sent_messages.size());
  LONGS_EQUAL(0, Receive(host1, 5, UpToDateVoteRequest()).size());
  auto messages = Receive(host1, 5, AppendRequest());
  const auto* response = std::get_if<AppendResponse>(&messages.at(0).body);
  CHECK(response != nullptr && response->accepted && !response->durable);
}

// Guards against uncommitted entries that stay in the log after a received snapshot, although they
// conflict with it.
TEST(RaftNode, SnapshotReplacesAConflictingLog) {
  RestartNode();
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
  RestartNode();
  CHECK(node->Status().last_index == LogIndex(20));
}
