#include "consensus/raft_node.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace sapphirecrank::consensus {

using base::ErrorCode;
using base::HostId;
using base::LogIndex;
using base::Result;
using base::Term;

RaftNode::RaftNode(const HostId& self, base::Incarnation incarnation, const RaftSettings& settings,
                   const RecoveredState& recovered, Hooks hooks)
    : self(self),
      settings(settings),
      hooks(std::move(hooks)),
      hard_state(recovered.hard_state),
      raft_log(recovered.snapshot.index, recovered.snapshot.term, recovered.snapshot.membership),
      snapshot(recovered.snapshot),
      commit(recovered.snapshot.index),
      applied(recovered.snapshot.index),
      probe(incarnation),
      replication(this->self, this->settings, this->raft_log) {
  for (const LogEntry& entry : recovered.entries) {
    this->raft_log.Append(entry);
  }
  // Whom this host heard from before a restart is forgotten; it must not vote against a lease that
  // it has helped to grant.
  this->last_leader_contact = this->hooks.now();
  this->ResetElectionDeadline();
  if (this->snapshot.index > LogIndex()) {
    this->hooks.restore(this->snapshot);
  }
}

void RaftNode::Tick() {
  if (this->role == RaftRole::kLeader) {
    this->TickLeader();
    return;
  }
  if (this->hooks.now() < this->election_deadline) {
    return;
  }
  if (this->CanCampaign()) {
    this->StartPreVote();
  } else {
    this->ResetElectionDeadline();
  }
}

void RaftNode::Receive(const RaftMessage& message) {
  if (message.to != this->self) {
    return;
  }
  std::visit([&](const auto& body) { this->Handle(message, body); }, message.body);
}

Result<LogIndex> RaftNode::Propose(std::string command) {
  if (this->role != RaftRole::kLeader || this->transfer_deadline) {
    return base::Fail(ErrorCode::kUnavailable,
                      "not the leader of the group; leader: " + this->leader.value());
  }
  LogEntry entry;
  entry.kind = LogEntry::Kind::kCommand;
  entry.command = std::move(command);
  return this->Append(std::move(entry));
}

Result<LogIndex> RaftNode::ChangeMembership(const MembershipChange& change) {
  if (this->role != RaftRole::kLeader || this->transfer_deadline) {
    return base::Fail(ErrorCode::kUnavailable,
                      "not the leader of the group; leader: " + this->leader.value());
  }
  // Without an entry of its own term, the leader may not know of a change that an earlier leader
  // has committed.
  if (!this->HasCommittedInTerm()) {
    return base::Fail(ErrorCode::kUnavailable, "the leader has not committed in its term yet");
  }
  if (this->raft_log.membership_index() > this->commit) {
    return base::Fail(ErrorCode::kConflict, "a membership change is in progress");
  }
  auto membership = this->Changed(change);
  if (!membership) {
    return tl::make_unexpected(membership.error());
  }
  LogEntry entry;
  entry.kind = LogEntry::Kind::kMembership;
  entry.membership = std::move(*membership);
  LogIndex index = this->Append(std::move(entry));
  this->replication.UpdateMembers(this->hooks.now());
  return index;
}

void RaftNode::TransferLeadership() {
  if (this->role == RaftRole::kLeader && !this->transfer_deadline) {
    this->transfer_deadline = this->hooks.now() + this->settings.election_timeout_max;
    this->transfer_sent = false;
  }
}

void RaftNode::Flush() {
  if (!this->Persist()) {
    this->FailStorage();
  }
  if (this->role == RaftRole::kLeader) {
    this->AdvanceCommit();
    this->replication.ConfirmRounds(this->HasCommittedInTerm());
    this->ContinueTransfer();
    for (auto& [to, body] : this->replication.Collect(this->commit, this->snapshot)) {
      this->Queue(to, std::move(body));
    }
  }
  this->SendQueued();
  this->ApplyCommitted();
  this->UpdateCurrency();
  this->CompactLog();
}

bool RaftNode::HasLease() const {
  return this->role == RaftRole::kLeader && !this->lease_given_up && this->HasCommittedInTerm() &&
         this->hooks.now() < this->replication.rounds().confirmed_round_start() +
                                 this->settings.election_timeout_min - this->settings.lease_margin;
}

RaftStatus RaftNode::Status() const {
  RaftStatus status;
  status.role = this->role;
  status.term = this->hard_state.term;
  status.leader = this->leader;
  status.last_index = this->raft_log.last_index();
  status.commit = this->commit;
  status.applied = this->applied;
  status.snapshot = this->snapshot.index;
  status.membership = this->raft_log.membership();
  status.has_storage = this->HasStorage();
  status.current_as_of = this->current_as_of;
  return status;
}

void RaftNode::Handle(const RaftMessage& message, const VoteRequest& request) {
  if (!this->HasStorage()) {
    return;
  }
  VoteResponse answer{request.pre_vote, false};
  if (message.term < this->hard_state.term) {
    this->Queue(message.from, answer);
    return;
  }
  // A host that hears from a leader ignores candidates: a host that was cut off can't depose a
  // working leader, and the leader's lease holds.
  bool hears_leader =
      this->role == RaftRole::kLeader ||
      this->hooks.now() < this->last_leader_contact + this->settings.election_timeout_min;
  if (hears_leader && !request.is_leadership_transfer) {
    return;
  }
  if (request.pre_vote) {
    answer.granted = message.term > this->hard_state.term && this->IsUpToDate(request);
    this->Queue(message.from, answer.granted ? message.term : this->hard_state.term, answer);
    return;
  }
  if (message.term > this->hard_state.term) {
    this->BecomeFollower(message.term, HostId());
  }
  bool may_vote = this->hard_state.voted_for.empty() || this->hard_state.voted_for == message.from;
  if (may_vote && this->IsUpToDate(request)) {
    answer.granted = true;
    this->hard_state.voted_for = message.from;
    this->hard_state_changed = true;
    this->ResetElectionDeadline();
  }
  this->Queue(message.from, answer);
}

void RaftNode::Handle(const RaftMessage& message, const VoteResponse& answer) {
  if (!answer.granted) {
    if (message.term > this->hard_state.term) {
      this->BecomeFollower(message.term, HostId());
    }
    return;
  }
  Term wanted = answer.pre_vote ? this->hard_state.term.Next() : this->hard_state.term;
  RaftRole needed = answer.pre_vote ? RaftRole::kPreCandidate : RaftRole::kCandidate;
  if (this->role != needed || message.term != wanted) {
    return;
  }
  this->election.RecordGrantedVote(message.from);
  if (!this->election.HasQuorum(this->raft_log.membership())) {
    return;
  }
  if (answer.pre_vote) {
    this->StartElection(false);
  } else {
    this->BecomeLeader();
  }
}

void RaftNode::Handle(const RaftMessage& message, const AppendRequest& request) {
  if (!this->FollowLeader(message)) {
    AppendResponse refusal;
    refusal.heartbeat_round = request.heartbeat_round;
    this->Queue(message.from, refusal);
    return;
  }
  AppendResponse answer = this->AppendEntries(request);
  answer.heartbeat_round = request.heartbeat_round;
  answer.durable = this->HasStorage();
  answer.freshness_token = this->probe.IssueToken(this->hooks.now());
  this->probe.ConfirmToken(request.confirmed_freshness_token, request.commit_index);
  this->Queue(message.from, answer);
}

void RaftNode::Handle(const RaftMessage& message, const AppendResponse& answer) {
  if (this->IsCurrentAnswer(message)) {
    this->replication.OnAnswer(message.from, answer, this->hooks.now());
  }
}

void RaftNode::Handle(const RaftMessage& message, const SnapshotChunk& chunk) {
  SnapshotResponse answer;
  answer.index = chunk.index;
  answer.heartbeat_round = chunk.heartbeat_round;
  if (!this->FollowLeader(message)) {
    this->Queue(message.from, answer);
    return;
  }
  if (chunk.index > this->commit) {
    auto received = this->receiver.Receive(message.term, chunk);
    if (received) {
      this->Install(std::move(*received));
    }
  }
  answer.installed = chunk.index <= this->commit;
  answer.received_bytes = this->receiver.received();
  answer.durable = this->HasStorage();
  this->Queue(message.from, answer);
}

void RaftNode::Handle(const RaftMessage& message, const SnapshotResponse& answer) {
  if (this->IsCurrentAnswer(message)) {
    this->replication.OnAnswer(message.from, answer, this->hooks.now());
  }
}

void RaftNode::Handle(const RaftMessage& message, const TimeoutNow& /*request*/) {
  if (message.term == this->hard_state.term && this->leader == message.from &&
      this->role == RaftRole::kFollower && this->CanCampaign()) {
    this->StartElection(true);
  }
}

// Returns false if the sender's term is over.
bool RaftNode::FollowLeader(const RaftMessage& message) {
  if (message.term < this->hard_state.term) {
    return false;
  }
  if (message.term > this->hard_state.term || this->role != RaftRole::kFollower ||
      this->leader != message.from) {
    this->BecomeFollower(message.term, message.from);
  }
  this->last_leader_contact = this->hooks.now();
  this->ResetElectionDeadline();
  return true;
}

bool RaftNode::IsCurrentAnswer(const RaftMessage& message) {
  if (message.term > this->hard_state.term) {
    this->BecomeFollower(message.term, HostId());
  }
  return this->role == RaftRole::kLeader && message.term == this->hard_state.term;
}

AppendResponse RaftNode::AppendEntries(const AppendRequest& request) {
  AppendResponse answer;
  if (request.previous_index > this->raft_log.last_index()) {
    answer.index = this->raft_log.last_index();
    return answer;
  }
  auto previous_term = this->raft_log.TermAt(request.previous_index);
  // Entries in front of the base are committed and therefore equal.
  if (previous_term && *previous_term != request.previous_term) {
    answer.index = this->RetryPosition(request.previous_index);
    return answer;
  }
  for (const LogEntry& entry : request.entries) {
    auto known = this->raft_log.TermAt(entry.index);
    if (entry.index <= this->raft_log.base_index() || (known && *known == entry.term)) {
      continue;
    }
    if (known) {
      assert(entry.index > this->commit);
      this->raft_log.TruncateFrom(entry.index);
    }
    this->raft_log.Append(entry);
    this->first_unwritten = std::min(this->first_unwritten.value_or(entry.index), entry.index);
  }
  answer.accepted = true;
  answer.index = request.previous_index + LogIndex(request.entries.size());
  this->commit = std::max(this->commit, std::min(request.commit_index, answer.index));
  return answer;
}

// Skips all entries of the conflicting term at once, but nothing that is committed.
LogIndex RaftNode::RetryPosition(LogIndex conflict) const {
  auto term = this->raft_log.TermAt(conflict);
  LogIndex position = conflict;
  while (position > this->commit && this->raft_log.TermAt(position) == term) {
    position -= LogIndex(1);
  }
  return position;
}

void RaftNode::Install(RaftSnapshot received) {
  auto known = this->raft_log.TermAt(received.index);
  if (known && *known == received.term) {
    this->raft_log.CompactTo(received.index);
  } else {
    this->raft_log = RaftLog(received.index, received.term, received.membership);
  }
  if (this->first_unwritten && *this->first_unwritten <= received.index) {
    this->first_unwritten = received.index.Next();
  }
  this->commit = received.index;
  this->applied = received.index;
  this->snapshot = std::move(received);
  this->snapshot_received = true;
}

bool RaftNode::HasStorage() const { return this->hooks.storage.append && !this->storage_failed; }

bool RaftNode::CanCampaign() const {
  // A leader that removes itself may hold the only log that the rest can vote for; it is needed
  // until its removal is committed.
  bool is_voter = this->raft_log.membership().voters.count(this->self) != 0 ||
                  this->raft_log.MembershipAt(this->commit).voters.count(this->self) != 0;
  return this->HasStorage() && is_voter;
}

bool RaftNode::IsUpToDate(const VoteRequest& request) const {
  Term own_term = this->raft_log.last_term();
  return request.last_term > own_term ||
         (request.last_term == own_term && request.last_index >= this->raft_log.last_index());
}

void RaftNode::StartPreVote() {
  this->role = RaftRole::kPreCandidate;
  this->leader = HostId();
  this->ResetElectionDeadline();
  this->election.ClearVotes();
  this->election.RecordGrantedVote(this->self);
  if (this->election.HasQuorum(this->raft_log.membership())) {
    this->StartElection(false);
    return;
  }
  this->RequestVotes(this->hard_state.term.Next(), true, false);
}

void RaftNode::StartElection(bool transfer) {
  this->role = RaftRole::kCandidate;
  this->leader = HostId();
  this->hard_state.term = this->hard_state.term.Next();
  this->hard_state.voted_for = this->self;
  this->hard_state_changed = true;
  this->ResetElectionDeadline();
  this->election.ClearVotes();
  this->election.RecordGrantedVote(this->self);
  if (this->election.HasQuorum(this->raft_log.membership())) {
    this->BecomeLeader();
    return;
  }
  this->RequestVotes(this->hard_state.term, false, transfer);
}

void RaftNode::RequestVotes(Term term, bool pre_vote, bool transfer) {
  VoteRequest request;
  request.pre_vote = pre_vote;
  request.is_leadership_transfer = transfer;
  request.last_index = this->raft_log.last_index();
  request.last_term = this->raft_log.last_term();
  for (const HostId& voter : this->raft_log.membership().voters) {
    if (voter != this->self) {
      this->Queue(voter, term, request);
    }
  }
}

void RaftNode::BecomeFollower(Term term, const HostId& new_leader) {
  if (term > this->hard_state.term) {
    this->hard_state.term = term;
    this->hard_state.voted_for = HostId();
    this->hard_state_changed = true;
  }
  this->role = RaftRole::kFollower;
  this->leader = new_leader;
  this->transfer_deadline.reset();
  this->ResetElectionDeadline();
}

void RaftNode::BecomeLeader() {
  this->role = RaftRole::kLeader;
  this->leader = this->self;
  this->transfer_deadline.reset();
  this->lease_given_up = false;
  this->next_heartbeat = this->hooks.now();
  LogEntry entry;
  entry.kind = LogEntry::Kind::kNoOperation;
  // Peers start behind this entry, so that the first message already carries it.
  this->replication.Start(this->hooks.now());
  this->Append(std::move(entry));
  this->TickLeader();
}

void RaftNode::ResetElectionDeadline() {
  this->election_deadline =
      this->hooks.now() + this->hooks.random_duration(this->settings.election_timeout_min,
                                                      this->settings.election_timeout_max);
}

void RaftNode::TickLeader() {
  base::TimePoint now = this->hooks.now();
  if (this->transfer_deadline && now >= *this->transfer_deadline) {
    this->transfer_deadline.reset();
  }
  if (now < this->next_heartbeat) {
    return;
  }
  if (!this->replication.HasContact(now - this->settings.election_timeout_max)) {
    this->BecomeFollower(this->hard_state.term, HostId());
    return;
  }
  this->replication.Heartbeat(now);
  this->next_heartbeat = now + this->settings.heartbeat_interval;
}

LogIndex RaftNode::Append(LogEntry entry) {
  entry.index = this->raft_log.last_index().Next();
  entry.term = this->hard_state.term;
  LogIndex index = entry.index;
  this->raft_log.Append(std::move(entry));
  this->first_unwritten = std::min(this->first_unwritten.value_or(index), index);
  return index;
}

Result<RaftMembership> RaftNode::Changed(const MembershipChange& change) const {
  RaftMembership membership = this->raft_log.membership();
  bool is_voter = membership.voters.count(change.host) != 0;
  bool is_learner = membership.learners.count(change.host) != 0;
  const ReplicationProgress* peer = this->replication.Find(change.host);
  switch (change.kind) {
    case MembershipChange::Kind::kAddLearner:
      if (is_voter || is_learner) {
        return base::Fail(ErrorCode::kInvalidArgument, "the host is already a member", "host");
      }
      membership.learners.insert(change.host);
      return membership;
    case MembershipChange::Kind::kPromoteLearner:
      if (!is_learner) {
        return base::Fail(ErrorCode::kInvalidArgument, "the host is not a learner", "host");
      }
      if (peer == nullptr || peer->durable_index.value() + this->settings.promotion_lag <
                                 this->raft_log.last_index().value()) {
        return base::Fail(ErrorCode::kInvalidArgument, "the learner lags or has no durable storage",
                          "host");
      }
      if (peer->durable_index == LogIndex()) {
        return base::Fail(ErrorCode::kInvalidArgument, "the learner has no durable storage",
                          "host");
      }
      membership.learners.erase(change.host);
      membership.voters.insert(change.host);
      return membership;
    case MembershipChange::Kind::kRemoveMember:
      if (!is_voter && !is_learner) {
        return base::Fail(ErrorCode::kInvalidArgument, "the host is not a member", "host");
      }
      if (is_voter && membership.voters.size() == 1) {
        return base::Fail(ErrorCode::kInvalidArgument, "the host is the last voter", "host");
      }
      membership.voters.erase(change.host);
      membership.learners.erase(change.host);
      return membership;
  }
  return base::Fail(ErrorCode::kInvalidArgument, "unknown step", "kind");
}

bool RaftNode::HasCommittedInTerm() const {
  return this->role == RaftRole::kLeader &&
         this->raft_log.TermAt(this->commit) == this->hard_state.term;
}

void RaftNode::AdvanceCommit() {
  LogIndex candidate = this->replication.QuorumIndex(this->raft_log.last_index());
  // An entry of an older term may be replaced by a later leader although a quorum holds it; it is
  // committed together with the first entry of this term.
  if (candidate > this->commit && this->raft_log.TermAt(candidate) == this->hard_state.term) {
    this->commit = candidate;
  }
}

void RaftNode::ContinueTransfer() {
  if (!this->transfer_deadline || this->transfer_sent) {
    return;
  }
  base::TimePoint recently = this->hooks.now() - this->settings.election_timeout_min;
  for (const HostId& voter : this->raft_log.membership().voters) {
    const ReplicationProgress* peer = this->replication.Find(voter);
    if (peer != nullptr && peer->durable_index == this->raft_log.last_index() &&
        peer->last_response_at >= recently) {
      this->transfer_sent = true;
      this->lease_given_up = true;
      this->Queue(voter, TimeoutNow());
      return;
    }
  }
}

void RaftNode::Queue(const HostId& to, RaftMessage::Body body) {
  this->Queue(to, this->hard_state.term, std::move(body));
}

void RaftNode::Queue(const HostId& to, Term term, RaftMessage::Body body) {
  this->outbox.push_back(RaftMessage{this->self, to, term, std::move(body)});
}

bool RaftNode::Persist() {
  bool written = !this->HasStorage() || this->WriteChanges().has_value();
  this->hard_state_changed = false;
  this->first_unwritten.reset();
  if (std::exchange(this->snapshot_received, false)) {
    this->hooks.restore(this->snapshot);
  }
  return written;
}

Result<void> RaftNode::WriteChanges() {
  if (this->snapshot_received) {
    return this->hooks.storage.save_snapshot(
        this->snapshot, this->hard_state, this->raft_log.EntriesFrom(this->snapshot.index.Next()));
  }
  if (!this->hard_state_changed && !this->first_unwritten) {
    return {};
  }
  LogIndex first = this->first_unwritten.value_or(this->raft_log.last_index().Next());
  return this->hooks.storage.append(this->hard_state, this->raft_log.EntriesFrom(first));
}

void RaftNode::FailStorage() {
  this->storage_failed = true;
  this->outbox.clear();
  this->BecomeFollower(this->hard_state.term,
                       this->role == RaftRole::kFollower ? this->leader : HostId());
}

void RaftNode::SendQueued() {
  std::vector<RaftMessage> messages = std::exchange(this->outbox, {});
  for (const RaftMessage& message : messages) {
    this->hooks.send(message);
  }
}

void RaftNode::ApplyCommitted() {
  while (this->applied < this->commit) {
    this->applied = this->applied.Next();
    const LogEntry& entry = this->raft_log.EntryAt(this->applied);
    if (entry.kind == LogEntry::Kind::kCommand) {
      this->hooks.apply(entry);
    }
  }
  this->probe.OnApplied(this->applied);
  bool removed = this->raft_log.membership().voters.count(this->self) == 0 &&
                 this->raft_log.membership_index() <= this->commit;
  if (this->role == RaftRole::kLeader && removed) {
    this->BecomeFollower(this->hard_state.term, HostId());
  }
}

void RaftNode::CompactLog() {
  LogIndex last = std::max(this->snapshot.index, this->raft_log.base_index());
  if (this->applied.value() < last.value() + this->settings.snapshot_interval) {
    return;
  }
  if (this->HasStorage()) {
    this->snapshot =
        RaftSnapshot{this->applied, this->raft_log.EntryAt(this->applied).term,
                     this->raft_log.MembershipAt(this->applied), this->hooks.take_snapshot()};
    auto saved = this->hooks.storage.save_snapshot(
        this->snapshot, this->hard_state, this->raft_log.EntriesFrom(this->applied.Next()));
    if (!saved) {
      this->FailStorage();
    }
  }
  uint64_t retained = std::min<uint64_t>(
      this->settings.retained_entries, this->applied.value() - this->raft_log.base_index().value());
  this->raft_log.CompactTo(LogIndex(this->applied.value() - retained));
}

void RaftNode::UpdateCurrency() {
  base::TimePoint known = this->probe.up_to_date_as_of();
  if (this->HasCommittedInTerm()) {
    known = std::max(known, this->replication.rounds().confirmed_round_start());
  }
  this->current_as_of = std::max(this->current_as_of, known);
}

}  // namespace sapphirecrank::consensus
