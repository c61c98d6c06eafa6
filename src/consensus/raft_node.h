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

/// One host's part in a group that agrees on a log of commands (Raft with pre-vote, leader lease,
/// learners, snapshots and single-step membership change).
///
/// The node only computes: calls change its state in memory, and `Flush` lets the effects out
/// through the hooks, after everything that they depend on is durable. A caller that passes several
/// messages and commands in before one `Flush` pays one synced write for all of them.
///
/// Thread safety: none; one thread at a time. The hooks run inside `Flush` and must not call the
/// node.
class RaftNode {
 public:
  struct Hooks {
    base::Clock now;
    /// Returns a random duration from `low` to `high`.
    std::function<base::Duration(base::Duration low, base::Duration high)> random_duration;
    std::function<void(const RaftMessage&)> send_message;
    /// Both hooks are empty on a host without a disk, which then neither votes nor leads.
    RaftStorage storage;
    /// Applies a committed command; called once for each, in the order of the log.
    std::function<void(const LogEntry&)> apply_entry;
    /// Returns the state after the latest applied command.
    std::function<std::string()> take_snapshot;
    /// Replaces the state of the state machine.
    std::function<void(const RaftSnapshot&)> restore_snapshot;
  };

  /// Starts as a follower. `incarnation` differs for each start of the process. Restores the state
  /// machine if there is a snapshot.
  RaftNode(const base::HostId& self, base::Incarnation incarnation, const RaftSettings& settings,
           const RecoveredState& recovered, Hooks hooks);

  RaftNode(const RaftNode&) = delete;
  RaftNode& operator=(const RaftNode&) = delete;

  /// Does what is due by time. To be called several times in a heartbeat interval.
  void Tick();

  /// Takes a message of another host.
  void ReceiveMessage(const RaftMessage& message);

  /// Appends a command to the log and returns its index. It is accepted once `apply_entry` is
  /// called with this index and the term at the time of this call; another term there means it was
  /// not accepted. Error: `kUnavailable` if this host isn't the leader or is giving up leadership.
  base::Result<base::LogIndex> Propose(std::string command);

  /// Starts one step of a membership change and returns the index of its entry. Errors:
  /// `kUnavailable` if this host isn't the leader or hasn't committed in its term yet, `kConflict`
  /// if a step is in progress, `kInvalidArgument` if the step doesn't fit the membership, or the
  /// host to promote has no durable storage or lags.
  base::Result<base::LogIndex> ChangeMembership(const MembershipChange& change);

  /// Hands leadership to a voter that has the whole log, if this host is the leader. New commands
  /// are refused until another host leads or an election timeout has passed.
  void TransferLeadership();

  /// Makes changes durable, sends messages, and applies what is committed, in this order. If
  /// storage fails, the host gives up voting and leading for good and continues as a non-voter;
  /// nothing that depended on the failed write is sent.
  void Flush();

  /// Tells whether this host may answer reads as the leader: no other leader exists now.
  bool HasLeaderLease() const;

  /// Returns the state in memory, which may not be durable before `Flush`.
  RaftStatus Status() const;

  /// Returns the entries in memory, for checks in tests.
  const RaftLog& log() const { return this->raft_log; }

 private:
  void HandleMessage(const RaftMessage& message, const VoteRequest& request);
  void HandleMessage(const RaftMessage& message, const VoteResponse& answer);
  void HandleMessage(const RaftMessage& message, const AppendRequest& request);
  void HandleMessage(const RaftMessage& message, const AppendResponse& answer);
  void HandleMessage(const RaftMessage& message, const SnapshotChunk& chunk);
  void HandleMessage(const RaftMessage& message, const SnapshotResponse& answer);
  void HandleMessage(const RaftMessage& message, const TimeoutNow& request);

  bool AcceptLeader(const RaftMessage& message);
  bool AcceptResponse(const RaftMessage& message);
  AppendResponse AppendEntries(const AppendRequest& request);
  base::LogIndex RetryIndex(base::LogIndex conflict) const;
  void InstallSnapshot(RaftSnapshot received);

  bool HasStorage() const;
  bool CanCampaign() const;
  bool IsCandidateUpToDate(const VoteRequest& request) const;
  void StartPreVote();
  void StartElection(bool transfer);
  void RequestVotes(base::Term term, bool pre_vote, bool transfer);
  void BecomeFollower(base::Term term, const base::HostId& new_leader);
  void BecomeLeader();
  void ResetElectionDeadline();
  void TickLeader();

  base::LogIndex AppendNewEntry(LogEntry entry);
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
  // The host that was asked to take over doesn't wait for this leader's lease, and the request may
  // arrive late, so that the lease doesn't hold again in this term.
  bool lease_revoked = false;

  bool hard_state_changed = false;
  // First entry that is not on storage yet.
  std::optional<base::LogIndex> first_unpersisted_index;
  bool has_unpersisted_snapshot = false;
  bool storage_failed = false;
  std::vector<RaftMessage> outbox;
};

}  // namespace sapphirecrank::consensus
