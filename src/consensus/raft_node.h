#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/result.h"
#include "base/time.h"
#include "consensus/election.h"
#include "consensus/freshness_tracker.h"
#include "consensus/hard_state.h"
#include "consensus/membership_change.h"
#include "consensus/raft_log.h"
#include "consensus/raft_message.h"
#include "consensus/raft_role.h"
#include "consensus/raft_settings.h"
#include "consensus/raft_snapshot.h"
#include "consensus/raft_status.h"
#include "consensus/raft_storage.h"
#include "consensus/recovered_state.h"
#include "consensus/replication.h"
#include "consensus/snapshot_receiver.h"

namespace sapphirecrank::consensus {

/// One host's replica of a log of commands (Raft with pre-vote, leader lease, learners, snapshots
/// and membership changes).
///
/// All methods except `Flush` change only the state in memory. `Flush` makes these changes durable
/// and then calls the hooks for the messages and committed commands that depend on them. All
/// messages and commands that are passed in before one `Flush` share one synced write.
///
/// Thread safety: none; one thread at a time. Most hooks run inside `Flush`; none may call the
/// node.
class RaftNode {
 public:
  struct Hooks {
    /// Returns the current time.
    base::Clock now;
    /// Returns a random duration from `low` to `high`.
    std::function<base::Duration(base::Duration low, base::Duration high)> random_duration;
    /// Sends a message; it may be lost.
    std::function<void(const RaftMessage&)> send_message;
    /// Durable storage. Both of its hooks are empty on a host without a disk, which then neither
    /// votes nor leads.
    RaftStorage storage;
    /// Applies a committed command. Called once for each command, in the order of the log.
    std::function<void(const LogEntry&)> apply_entry;
    /// Returns the state of the state machine after the latest applied command.
    std::function<std::string()> take_snapshot;
    /// Replaces the state of the state machine by that of a snapshot.
    std::function<void(const RaftSnapshot&)> restore_snapshot;
  };

  /// Starts as a follower. `incarnation` must differ for each start of the process. Calls
  /// `restore_snapshot` if `recovered` has a snapshot.
  RaftNode(const base::HostId& self, base::Incarnation incarnation, const RaftSettings& settings,
           const RecoveredState& recovered, Hooks hooks);

  RaftNode(const RaftNode&) = delete;
  RaftNode& operator=(const RaftNode&) = delete;

  /// Starts elections and heartbeat rounds that are due. To be called several times in a heartbeat
  /// interval.
  void Tick();

  /// Processes a message of another host. A message for another receiver is ignored.
  void ReceiveMessage(const RaftMessage& message);

  /// Appends a command to the log and returns its index. The command is committed once
  /// `apply_entry` is called with this index and the term at the time of this call. If an entry of
  /// another term is applied at this index, the command was not committed and never will be. Error:
  /// `kUnavailable` if this host isn't the leader or is transferring leadership.
  base::Result<base::LogIndex> Propose(std::string command);

  /// Starts a membership change and returns the index of its entry. Errors: `kUnavailable` if this
  /// host isn't the leader, is transferring leadership or hasn't committed an entry in its term
  /// yet; `kConflict` if another change is in progress; `kInvalidArgument` if the change doesn't
  /// apply to the membership, or if the learner to promote has no durable storage or lags.
  base::Result<base::LogIndex> ChangeMembership(const MembershipChange& change);

  /// Returns an error if `learner` can't become a voter now: `kInvalidArgument` if it isn't a
  /// learner, has no durable storage, or doesn't respond or lags, so that its vote would be missing
  /// for a while. Precondition: this host is the leader.
  base::Result<void> CheckPromotion(const base::HostId& learner) const;

  /// Returns for how long another member hasn't responded to this host as leader; 0 if this host
  /// isn't the leader or the member isn't known.
  base::Duration SilenceOf(const base::HostId& member) const;

  /// If this host is the leader, transfers leadership to a voter that has the whole log. New
  /// commands are rejected until another host leads or the maximum election timeout has passed.
  void TransferLeadership();

  /// Makes changes durable, sends messages, and applies committed entries, in this order. If the
  /// storage fails, this host stops voting and leading until the process restarts, but goes on
  /// replicating. Messages that depend on the failed write are not sent.
  void Flush();

  /// Tells whether this host holds the leader lease: no other host can be leader now, so this host
  /// may answer reads.
  bool HasLeaderLease() const;

  /// Returns the state in memory. It may not be durable before `Flush`.
  RaftStatus Status() const;

  /// Returns the log in memory, for checks in tests.
  const RaftLog& log() const { return this->raft_log; }

 private:
  void HandleMessage(const RaftMessage& message, const VoteRequest& request);
  void HandleMessage(const RaftMessage& message, const VoteResponse& response);
  void HandleMessage(const RaftMessage& message, const AppendRequest& request);
  void HandleMessage(const RaftMessage& message, const AppendResponse& response);
  void HandleMessage(const RaftMessage& message, const SnapshotChunk& chunk);
  void HandleMessage(const RaftMessage& message, const SnapshotResponse& response);
  void HandleMessage(const RaftMessage& message, const TimeoutNow& request);

  bool AcceptLeader(const RaftMessage& message);
  bool AcceptResponse(const RaftMessage& message);
  AppendResponse AppendEntries(const AppendRequest& request);
  base::LogIndex RetryIndex(base::LogIndex conflict_index) const;
  void InstallSnapshot(RaftSnapshot received);

  bool HasStorage() const;
  bool CanCampaign() const;
  bool IsCandidateUpToDate(const VoteRequest& request) const;
  void StartPreVote();
  void StartElection(bool is_leadership_transfer);
  void RequestVotes(base::Term term, bool pre_vote, bool is_leadership_transfer);
  void BecomeFollower(base::Term term, const base::HostId& new_leader);
  void BecomeLeader();
  void ResetElectionDeadline();
  void TickLeader();

  base::LogIndex AppendNewEntry(LogEntry entry);
  base::LogIndex AppendMembership(RaftMembership membership);
  void FinishReplacementIfDue();
  base::Result<RaftMembership> MembershipAfter(const MembershipChange& change) const;
  bool HasCommittedInTerm() const;
  void AdvanceCommit();
  void ContinueLeadershipTransfer();
  void QueueMessage(const base::HostId& to, RaftMessage::Body body);
  void QueueMessage(const base::HostId& to, base::Term term, RaftMessage::Body body);

  bool PersistChanges();
  base::Result<void> WriteChanges();
  void DisableStorage();
  void SendQueuedMessages();
  void ApplyCommitted();
  void CompactLog();
  void UpdateFreshness();

  base::HostId self;
  RaftSettings settings;
  Hooks hooks;

  HardState hard_state;
  RaftLog raft_log;
  RaftSnapshot snapshot;
  base::LogIndex commit_index;
  base::LogIndex applied_index;

  RaftRole role = RaftRole::kFollower;
  base::HostId leader;
  base::TimePoint last_leader_contact;
  base::TimePoint election_deadline;
  Election election;
  SnapshotReceiver snapshot_receiver;
  FreshnessTracker freshness_tracker;
  base::TimePoint up_to_date_as_of;

  Replication replication;
  base::TimePoint next_heartbeat_at;
  std::optional<base::TimePoint> transfer_deadline;
  bool timeout_now_sent = false;
  // Set when another host is asked to take over leadership. That host doesn't wait for the end of
  // this leader's lease, and the request may arrive late, so the lease isn't valid again in this
  // term.
  bool lease_revoked = false;

  bool hard_state_changed = false;
  // Index of the first entry that is not on storage yet.
  std::optional<base::LogIndex> first_unpersisted_index;
  bool has_unpersisted_snapshot = false;
  bool storage_failed = false;
  std::vector<RaftMessage> outbox;
};

}  // namespace sapphirecrank::consensus
