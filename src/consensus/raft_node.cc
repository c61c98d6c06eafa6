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
      commit_index(recovered.snapshot.index),
      applied_index(recovered.snapshot.index),
      freshness_tracker(incarnation),
      replication(this->self, this->settings, this->raft_log) {
  for (const LogEntry& entry : recovered.entries) {
    this->raft_log.Append(entry);
  }
  // A restart loses the time of the last leader contact. Counts the start as a contact, so that
  // this host doesn't vote while a lease that it has helped to confirm may be valid.
  this->last_leader_contact = this->hooks.now();
  this->ResetElectionDeadline();
  if (this->snapshot.index > LogIndex()) {
    this->hooks.restore_snapshot(this->snapshot);
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
    this->leader = HostId();
    this->ResetElectionDeadline();
  }
}

void RaftNode::ReceiveMessage(const RaftMessage& message) {
  if (message.to != this->self) {
    return;
  }
  std::visit([&](const auto& body) { this->HandleMessage(message, body); }, message.body);
}

Result<LogIndex> RaftNode::Propose(std::string command) {
  if (this->role != RaftRole::kLeader || this->transfer_deadline) {
    return base::MakeErrorResult(
        ErrorCode::kUnavailable,
        "this host is not the leader of the group or is transferring leadership; leader: " +
            this->leader.value());
  }
  LogEntry entry;
  entry.kind = LogEntry::Kind::kCommand;
  entry.command = std::move(command);
  return this->AppendNewEntry(std::move(entry));
}

Result<LogIndex> RaftNode::ChangeMembership(const MembershipChange& change) {
  if (this->role != RaftRole::kLeader || this->transfer_deadline) {
    return base::MakeErrorResult(
        ErrorCode::kUnavailable,
        "this host is not the leader of the group or is transferring leadership; leader: " +
            this->leader.value());
  }
  // Before the leader has committed an entry of its own term, it may not know of a membership
  // change that an earlier leader has committed.
  if (!this->HasCommittedInTerm()) {
    return base::MakeErrorResult(ErrorCode::kUnavailable,
                                 "the leader has not committed an entry in its term yet");
  }
  if (this->raft_log.membership_index() > this->commit_index ||
      !this->raft_log.membership().outgoing_voters.empty()) {
    return base::MakeErrorResult(ErrorCode::kConflict, "a membership change is in progress");
  }
  auto membership = this->MembershipAfter(change);
  if (!membership) {
    return tl::make_unexpected(membership.error());
  }
  return this->AppendMembership(std::move(*membership));
}

LogIndex RaftNode::AppendMembership(RaftMembership membership) {
  LogEntry entry;
  entry.kind = LogEntry::Kind::kMembership;
  entry.membership = std::move(membership);
  const LogIndex index = this->AppendNewEntry(std::move(entry));
  this->replication.UpdatePeers(this->hooks.now(), this->commit_index);
  return index;
}

// Begins the second step of a replacement once the first one is committed.
void RaftNode::FinishReplacementIfDue() {
  RaftMembership membership = this->raft_log.membership();
  if (membership.outgoing_voters.empty() || this->transfer_deadline ||
      !this->HasCommittedInTerm() || this->raft_log.membership_index() > this->commit_index) {
    return;
  }
  membership.outgoing_voters.clear();
  this->AppendMembership(std::move(membership));
}

void RaftNode::TransferLeadership() {
  if (this->role == RaftRole::kLeader && !this->transfer_deadline) {
    this->transfer_deadline = this->hooks.now() + this->settings.maximum_election_timeout;
    this->timeout_now_sent = false;
  }
}

void RaftNode::Flush() {
  if (!this->PersistChanges()) {
    this->DisableStorage();
  }
  if (this->role == RaftRole::kLeader) {
    this->AdvanceCommit();
    this->replication.ConfirmRounds(this->HasCommittedInTerm());
    this->ContinueLeadershipTransfer();
    for (auto& [to, body] : this->replication.CollectMessages(this->commit_index, this->snapshot)) {
      this->QueueMessage(to, std::move(body));
    }
    if (this->replication.has_departing_peers() &&
        this->raft_log.membership_index() <= this->commit_index) {
      this->replication.UpdatePeers(this->hooks.now(), this->commit_index);
    }
  }
  this->SendQueuedMessages();
  this->ApplyCommitted();
  this->UpdateFreshness();
  this->CompactLog();
}

bool RaftNode::HasLeaderLease() const {
  return this->role == RaftRole::kLeader && !this->lease_revoked && this->HasCommittedInTerm() &&
         this->hooks.now() < this->replication.heartbeat_rounds().confirmed_round_start() +
                                 this->settings.minimum_election_timeout -
                                 this->settings.lease_margin;
}

RaftStatus RaftNode::Status() const {
  RaftStatus status;
  status.role = this->role;
  status.term = this->hard_state.term;
  status.leader = this->leader;
  status.last_index = this->raft_log.last_index();
  status.commit_index = this->commit_index;
  status.applied_index = this->applied_index;
  status.snapshot_index = this->snapshot.index;
  status.membership = this->raft_log.membership();
  status.membership_index = this->raft_log.membership_index();
  status.has_storage = this->HasStorage();
  status.up_to_date_as_of = this->up_to_date_as_of;
  return status;
}

void RaftNode::HandleMessage(const RaftMessage& message, const VoteRequest& request) {
  if (!this->HasStorage()) {
    return;
  }
  VoteResponse response{request.pre_vote, false};
  if (message.term < this->hard_state.term) {
    this->QueueMessage(message.from, response);
    return;
  }
  // A host that has heard from a leader recently ignores candidates. So a host that was cut off
  // can't depose a working leader, and the leader's lease stays valid.
  bool has_active_leader =
      this->role == RaftRole::kLeader ||
      this->hooks.now() < this->last_leader_contact + this->settings.minimum_election_timeout;
  if (has_active_leader && !request.is_leadership_transfer) {
    return;
  }
  if (request.pre_vote) {
    response.granted = message.term > this->hard_state.term && this->IsCandidateUpToDate(request);
    this->QueueMessage(message.from, response.granted ? message.term : this->hard_state.term,
                       response);
    return;
  }
  if (message.term > this->hard_state.term) {
    this->BecomeFollower(message.term, HostId());
  }
  bool can_vote = this->hard_state.voted_for.empty() || this->hard_state.voted_for == message.from;
  if (can_vote && this->IsCandidateUpToDate(request)) {
    response.granted = true;
    this->hard_state.voted_for = message.from;
    this->hard_state_changed = true;
    this->ResetElectionDeadline();
  }
  this->QueueMessage(message.from, response);
}

void RaftNode::HandleMessage(const RaftMessage& message, const VoteResponse& response) {
  if (!response.granted) {
    if (message.term > this->hard_state.term) {
      this->BecomeFollower(message.term, HostId());
    }
    return;
  }
  Term expected_term = response.pre_vote ? this->hard_state.term.Next() : this->hard_state.term;
  RaftRole expected_role = response.pre_vote ? RaftRole::kPreCandidate : RaftRole::kCandidate;
  if (this->role != expected_role || message.term != expected_term) {
    return;
  }
  this->election.RecordGrantedVote(message.from);
  if (!this->election.HasQuorum(this->raft_log.membership())) {
    return;
  }
  if (response.pre_vote) {
    this->StartElection(false);
  } else {
    this->BecomeLeader();
  }
}

void RaftNode::HandleMessage(const RaftMessage& message, const AppendRequest& request) {
  if (!this->AcceptLeader(message)) {
    AppendResponse rejection;
    rejection.heartbeat_round = request.heartbeat_round;
    this->QueueMessage(message.from, rejection);
    return;
  }
  AppendResponse response = this->AppendEntries(request);
  response.heartbeat_round = request.heartbeat_round;
  response.durable = this->HasStorage();
  response.freshness_token = this->freshness_tracker.IssueToken(this->hooks.now());
  this->freshness_tracker.ConfirmToken(request.confirmed_freshness_token, request.commit_index);
  this->QueueMessage(message.from, response);
}

void RaftNode::HandleMessage(const RaftMessage& message, const AppendResponse& response) {
  if (this->AcceptResponse(message)) {
    this->replication.OnResponse(message.from, response, this->hooks.now());
  }
}

void RaftNode::HandleMessage(const RaftMessage& message, const SnapshotChunk& chunk) {
  SnapshotResponse response;
  response.index = chunk.index;
  response.heartbeat_round = chunk.heartbeat_round;
  if (!this->AcceptLeader(message)) {
    this->QueueMessage(message.from, response);
    return;
  }
  if (chunk.index > this->commit_index) {
    auto received = this->snapshot_receiver.AddChunk(message.term, chunk);
    if (received) {
      this->InstallSnapshot(std::move(*received));
    }
  }
  response.installed = chunk.index <= this->commit_index;
  response.received_bytes = this->snapshot_receiver.received_bytes();
  response.durable = this->HasStorage();
  this->QueueMessage(message.from, response);
}

void RaftNode::HandleMessage(const RaftMessage& message, const SnapshotResponse& response) {
  if (this->AcceptResponse(message)) {
    this->replication.OnResponse(message.from, response, this->hooks.now());
  }
}

void RaftNode::HandleMessage(const RaftMessage& message, const TimeoutNow& /*request*/) {
  if (message.term == this->hard_state.term && this->leader == message.from &&
      this->role == RaftRole::kFollower && this->CanCampaign()) {
    this->StartElection(true);
  }
}

// Follows the sender as leader. Returns false if the sender's term is older than this host's.
bool RaftNode::AcceptLeader(const RaftMessage& message) {
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

// Steps down if the sender's term is newer. Returns whether the response belongs to the current
// leadership of this host.
bool RaftNode::AcceptResponse(const RaftMessage& message) {
  if (message.term > this->hard_state.term) {
    this->BecomeFollower(message.term, HostId());
  }
  return this->role == RaftRole::kLeader && message.term == this->hard_state.term;
}

AppendResponse RaftNode::AppendEntries(const AppendRequest& request) {
  AppendResponse response;
  if (request.previous_index > this->raft_log.last_index()) {
    response.index = this->raft_log.last_index();
    return response;
  }
  auto previous_term = this->raft_log.TermAt(request.previous_index);
  // Entries before the base are committed and therefore equal to the leader's.
  if (previous_term && *previous_term != request.previous_term) {
    response.index = this->RetryIndex(request.previous_index);
    return response;
  }
  for (const LogEntry& entry : request.entries) {
    auto existing_term = this->raft_log.TermAt(entry.index);
    if (entry.index <= this->raft_log.base_index() ||
        (existing_term && *existing_term == entry.term)) {
      continue;
    }
    if (existing_term) {
      assert(entry.index > this->commit_index);
      this->raft_log.TruncateFrom(entry.index);
    }
    this->raft_log.Append(entry);
    this->first_unpersisted_index =
        std::min(this->first_unpersisted_index.value_or(entry.index), entry.index);
  }
  response.accepted = true;
  response.index = request.previous_index + LogIndex(request.entries.size());
  this->commit_index = std::max(this->commit_index, std::min(request.commit_index, response.index));
  return response;
}

// Returns the index before the first entry of the conflicting term, so that one response skips the
// whole term, or the commit index if that is higher.
LogIndex RaftNode::RetryIndex(LogIndex conflict_index) const {
  auto term = this->raft_log.TermAt(conflict_index);
  LogIndex retry_index = conflict_index;
  while (retry_index > this->commit_index && this->raft_log.TermAt(retry_index) == term) {
    retry_index -= LogIndex(1);
  }
  return retry_index;
}

void RaftNode::InstallSnapshot(RaftSnapshot received) {
  auto existing_term = this->raft_log.TermAt(received.index);
  if (existing_term && *existing_term == received.term) {
    this->raft_log.CompactTo(received.index);
  } else {
    this->raft_log = RaftLog(received.index, received.term, received.membership);
  }
  if (this->first_unpersisted_index && *this->first_unpersisted_index <= received.index) {
    this->first_unpersisted_index = received.index.Next();
  }
  this->commit_index = received.index;
  this->applied_index = received.index;
  this->snapshot = std::move(received);
  this->has_unpersisted_snapshot = true;
}

bool RaftNode::HasStorage() const {
  return this->hooks.storage.append_entries && !this->storage_failed;
}

bool RaftNode::CanCampaign() const {
  // A leader that removes itself may have the only log that is up to date enough to win an
  // election. It may campaign until its removal is committed.
  bool is_voter = this->raft_log.membership().IsVoter(this->self) ||
                  this->raft_log.MembershipAt(this->commit_index).IsVoter(this->self);
  return this->HasStorage() && is_voter;
}

bool RaftNode::IsCandidateUpToDate(const VoteRequest& request) const {
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

void RaftNode::StartElection(bool is_leadership_transfer) {
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
  this->RequestVotes(this->hard_state.term, false, is_leadership_transfer);
}

void RaftNode::RequestVotes(Term term, bool pre_vote, bool is_leadership_transfer) {
  VoteRequest request;
  request.pre_vote = pre_vote;
  request.is_leadership_transfer = is_leadership_transfer;
  request.last_index = this->raft_log.last_index();
  request.last_term = this->raft_log.last_term();
  for (const HostId& voter : this->raft_log.membership().AllVoters()) {
    if (voter != this->self) {
      this->QueueMessage(voter, term, request);
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
  this->lease_revoked = false;
  this->next_heartbeat_at = this->hooks.now();
  LogEntry entry;
  entry.kind = LogEntry::Kind::kNoOperation;
  // The peers' next index is set before this entry is appended, so that the first message carries
  // the entry.
  this->replication.StartLeadership(this->hooks.now(), this->commit_index);
  this->AppendNewEntry(std::move(entry));
  this->TickLeader();
}

void RaftNode::ResetElectionDeadline() {
  this->election_deadline =
      this->hooks.now() + this->hooks.random_duration(this->settings.minimum_election_timeout,
                                                      this->settings.maximum_election_timeout);
}

void RaftNode::TickLeader() {
  base::TimePoint now = this->hooks.now();
  if (this->transfer_deadline && now >= *this->transfer_deadline) {
    this->transfer_deadline.reset();
  }
  this->FinishReplacementIfDue();
  if (now < this->next_heartbeat_at) {
    return;
  }
  if (!this->replication.HasQuorumContact(now - this->settings.maximum_election_timeout)) {
    this->BecomeFollower(this->hard_state.term, HostId());
    return;
  }
  this->replication.StartHeartbeatRound(now);
  this->next_heartbeat_at = now + this->settings.heartbeat_interval;
}

LogIndex RaftNode::AppendNewEntry(LogEntry entry) {
  entry.index = this->raft_log.last_index().Next();
  entry.term = this->hard_state.term;
  LogIndex index = entry.index;
  this->raft_log.Append(std::move(entry));
  this->first_unpersisted_index = std::min(this->first_unpersisted_index.value_or(index), index);
  return index;
}

Result<RaftMembership> RaftNode::MembershipAfter(const MembershipChange& change) const {
  RaftMembership membership = this->raft_log.membership();
  bool is_voter = membership.voters.count(change.host) != 0;
  bool is_learner = membership.learners.count(change.host) != 0;
  switch (change.kind) {
    case MembershipChange::Kind::kAddLearner:
      if (is_voter || is_learner) {
        return base::MakeErrorResult(ErrorCode::kInvalidArgument,
                                     "the host to add is already a member", "host");
      }
      membership.learners.insert(change.host);
      return membership;
    case MembershipChange::Kind::kPromoteLearner:
      if (const auto checked = this->CheckPromotion(change.host); !checked) {
        return tl::make_unexpected(checked.error());
      }
      membership.learners.erase(change.host);
      membership.voters.insert(change.host);
      return membership;
    case MembershipChange::Kind::kReplaceVoter:
      if (membership.voters.count(change.replaced_voter) == 0) {
        return base::MakeErrorResult(ErrorCode::kInvalidArgument,
                                     "the host to replace is not a voter", "replaced_voter");
      }
      if (const auto checked = this->CheckPromotion(change.host); !checked) {
        return tl::make_unexpected(checked.error());
      }
      membership.outgoing_voters = membership.voters;
      membership.voters.erase(change.replaced_voter);
      membership.learners.erase(change.host);
      membership.voters.insert(change.host);
      return membership;
    case MembershipChange::Kind::kRemoveMember:
      if (!is_voter && !is_learner) {
        return base::MakeErrorResult(ErrorCode::kInvalidArgument,
                                     "the host to remove is not a member", "host");
      }
      if (is_voter && membership.voters.size() == 1) {
        return base::MakeErrorResult(ErrorCode::kInvalidArgument,
                                     "the host to remove is the last voter", "host");
      }
      membership.voters.erase(change.host);
      membership.learners.erase(change.host);
      return membership;
  }
  return base::MakeErrorResult(ErrorCode::kInvalidArgument, "unknown kind of membership change",
                               "kind");
}

Result<void> RaftNode::CheckPromotion(const HostId& learner) const {
  const auto refuse = [](std::string reason) {
    return base::MakeErrorResult(ErrorCode::kInvalidArgument, std::move(reason), "host");
  };
  const ReplicationProgress* peer = this->replication.FindProgress(learner);
  if (peer == nullptr || this->raft_log.membership().learners.count(learner) == 0) {
    return refuse("the host to promote is not a learner");
  }
  if (peer->durable_index == LogIndex()) {
    return refuse("the learner to promote has stored nothing yet");
  }
  if (!peer->has_storage) {
    return refuse("the learner to promote has no durable storage");
  }
  if (this->hooks.now() - peer->last_response_at > this->settings.minimum_election_timeout) {
    return refuse("the learner to promote doesn't respond");
  }
  if (peer->durable_index < this->raft_log.base_index() ||
      peer->durable_index.value() + this->settings.maximum_promotion_lag_entries <
          this->raft_log.last_index().value() ||
      this->raft_log.SizeFrom(peer->durable_index.Next()) >
          this->settings.maximum_promotion_lag_bytes) {
    return refuse("the learner to promote lags");
  }
  return {};
}

base::Duration RaftNode::SilenceOf(const HostId& member) const {
  const ReplicationProgress* peer = this->replication.FindProgress(member);
  return this->role == RaftRole::kLeader && peer != nullptr
             ? this->hooks.now() - peer->last_response_at
             : base::Duration(0);
}

bool RaftNode::HasCommittedInTerm() const {
  return this->role == RaftRole::kLeader &&
         this->raft_log.TermAt(this->commit_index) == this->hard_state.term;
}

void RaftNode::AdvanceCommit() {
  LogIndex quorum_index = this->replication.QuorumDurableIndex(this->raft_log.last_index());
  // A later leader may replace an entry of an older term although a quorum has it. Such an entry is
  // committed only together with an entry of this term.
  if (quorum_index > this->commit_index &&
      this->raft_log.TermAt(quorum_index) == this->hard_state.term) {
    this->commit_index = quorum_index;
  }
}

void RaftNode::ContinueLeadershipTransfer() {
  if (!this->transfer_deadline || this->timeout_now_sent) {
    return;
  }
  base::TimePoint earliest_response = this->hooks.now() - this->settings.minimum_election_timeout;
  for (const HostId& voter : this->raft_log.membership().voters) {
    const ReplicationProgress* peer = this->replication.FindProgress(voter);
    if (peer != nullptr && peer->durable_index == this->raft_log.last_index() &&
        peer->last_response_at >= earliest_response) {
      this->timeout_now_sent = true;
      this->lease_revoked = true;
      this->QueueMessage(voter, TimeoutNow());
      return;
    }
  }
}

void RaftNode::QueueMessage(const HostId& to, RaftMessage::Body body) {
  this->QueueMessage(to, this->hard_state.term, std::move(body));
}

void RaftNode::QueueMessage(const HostId& to, Term term, RaftMessage::Body body) {
  this->outbox.push_back(RaftMessage{this->self, to, term, std::move(body)});
}

bool RaftNode::PersistChanges() {
  bool is_written = !this->HasStorage() || this->WriteChanges().has_value();
  this->hard_state_changed = false;
  this->first_unpersisted_index.reset();
  if (std::exchange(this->has_unpersisted_snapshot, false)) {
    this->hooks.restore_snapshot(this->snapshot);
  }
  return is_written;
}

Result<void> RaftNode::WriteChanges() {
  if (this->has_unpersisted_snapshot) {
    return this->hooks.storage.save_snapshot(
        this->snapshot, this->hard_state, this->raft_log.EntriesFrom(this->snapshot.index.Next()));
  }
  if (!this->hard_state_changed && !this->first_unpersisted_index) {
    return {};
  }
  LogIndex first = this->first_unpersisted_index.value_or(this->raft_log.last_index().Next());
  return this->hooks.storage.append_entries(this->hard_state, this->raft_log.EntriesFrom(first));
}

void RaftNode::DisableStorage() {
  this->storage_failed = true;
  this->outbox.clear();
  this->BecomeFollower(this->hard_state.term,
                       this->role == RaftRole::kFollower ? this->leader : HostId());
}

void RaftNode::SendQueuedMessages() {
  std::vector<RaftMessage> messages = std::exchange(this->outbox, {});
  for (const RaftMessage& message : messages) {
    this->hooks.send_message(message);
  }
}

void RaftNode::ApplyCommitted() {
  while (this->applied_index < this->commit_index) {
    this->applied_index = this->applied_index.Next();
    const LogEntry& entry = this->raft_log.EntryAt(this->applied_index);
    if (entry.kind == LogEntry::Kind::kCommand) {
      this->hooks.apply_entry(entry);
    }
  }
  this->freshness_tracker.OnApplied(this->applied_index);
  bool is_removed = !this->raft_log.membership().IsVoter(this->self) &&
                    this->raft_log.membership_index() <= this->commit_index;
  if (this->role == RaftRole::kLeader && is_removed) {
    this->BecomeFollower(this->hard_state.term, HostId());
  }
}

void RaftNode::CompactLog() {
  LogIndex last_compaction = std::max(this->snapshot.index, this->raft_log.base_index());
  if (this->applied_index.value() <
      last_compaction.value() + this->settings.snapshot_interval_entries) {
    return;
  }
  if (this->HasStorage()) {
    this->snapshot =
        RaftSnapshot{this->applied_index, this->raft_log.EntryAt(this->applied_index).term,
                     this->raft_log.MembershipAt(this->applied_index), this->hooks.take_snapshot()};
    auto saved = this->hooks.storage.save_snapshot(
        this->snapshot, this->hard_state, this->raft_log.EntriesFrom(this->applied_index.Next()));
    if (!saved) {
      this->DisableStorage();
    }
  }
  uint64_t retained_count =
      std::min<uint64_t>(this->settings.retained_entries,
                         this->applied_index.value() - this->raft_log.base_index().value());
  this->raft_log.CompactTo(LogIndex(this->applied_index.value() - retained_count));
}

void RaftNode::UpdateFreshness() {
  base::TimePoint latest_known = this->freshness_tracker.up_to_date_as_of();
  if (this->HasCommittedInTerm()) {
    latest_known =
        std::max(latest_known, this->replication.heartbeat_rounds().confirmed_round_start());
  }
  this->up_to_date_as_of = std::max(this->up_to_date_as_of, latest_known);
}

}  // namespace sapphirecrank::consensus
