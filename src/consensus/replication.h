#pragma once

#include <functional>
#include <map>
#include <utility>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "consensus/heartbeat_rounds.h"
#include "consensus/raft_log.h"
#include "consensus/raft_membership.h"
#include "consensus/raft_message.h"
#include "consensus/raft_settings.h"
#include "consensus/raft_snapshot.h"
#include "consensus/replication_progress.h"

namespace sapphirecrank::consensus {

/// The leader's side of log replication: decides what to send to each peer and tracks what a quorum
/// has stored and acknowledged.
///
/// Thread safety: none.
class Replication {
 public:
  using Messages = std::vector<std::pair<base::HostId, RaftMessage::Body>>;

  /// Precondition: `settings` and `log` outlive this object.
  Replication(const base::HostId& self, const RaftSettings& settings, const RaftLog& log);

  /// Starts a term as leader: forgets all progress and takes the peers as `UpdatePeers` does.
  void StartLeadership(base::TimePoint now, base::LogIndex commit_index);

  /// Adds and removes peers so that they are the members of the log's latest membership and of the
  /// committed one. So a removed host learns of its removal. A new peer counts as having responded
  /// at `now`.
  void UpdatePeers(base::TimePoint now, base::LogIndex commit_index);

  /// Tells whether there are peers that the latest membership doesn't have.
  bool has_departing_peers() const { return this->are_peers_departing; }

  /// Starts a heartbeat round; `CollectMessages` returns its messages.
  void StartHeartbeatRound(base::TimePoint now);

  /// Returns the messages that are due: heartbeats, entries, commit indexes and snapshot chunks.
  /// Counts them as sent.
  Messages CollectMessages(base::LogIndex commit_index, const RaftSnapshot& snapshot);

  /// Processes a response. Precondition: it is of the current term.
  void OnResponse(const base::HostId& from, const AppendResponse& response, base::TimePoint now);

  /// Processes a response. Precondition: it is of the current term.
  void OnResponse(const base::HostId& from, const SnapshotResponse& response, base::TimePoint now);

  /// Returns the index of the last entry that is on the durable storage of a quorum of the voters,
  /// or 0 if there is none. `own_durable_index` is the last durable entry of this host.
  base::LogIndex QuorumDurableIndex(base::LogIndex own_durable_index) const;

  /// Updates which heartbeat rounds a quorum has responded to. `can_confirm_tokens` tells whether
  /// the commit index includes all entries committed by earlier leaders, so that freshness tokens
  /// may be confirmed.
  void ConfirmRounds(bool can_confirm_tokens);

  /// Tells whether a quorum of the voters responded at `since` or later. This host counts if it is
  /// a voter.
  bool HasQuorumContact(base::TimePoint since) const;

  /// Returns the progress of a host, or null if it isn't a peer.
  const ReplicationProgress* FindProgress(const base::HostId& host) const;

  const HeartbeatRounds& heartbeat_rounds() const { return this->round_tracker; }
  const std::map<base::HostId, ReplicationProgress>& peer_progress() const {
    return this->progress_by_host;
  }

 private:
  /// Returns the highest value that a quorum has reached. `value_of` returns that of a peer.
  template <typename Value>
  Value QuorumValue(Value own_value,
                    const std::function<Value(const ReplicationProgress&)>& value_of) const;
  void CollectPeerMessages(const base::HostId& host, ReplicationProgress& peer,
                           base::LogIndex commit_index, const RaftSnapshot& snapshot,
                           Messages& messages);
  void CollectSnapshotChunk(const base::HostId& host, ReplicationProgress& peer,
                            const RaftSnapshot& snapshot, Messages& messages);
  /// Returns the index of the last entry that a host may get. Learners get committed entries only:
  /// with others, a learner that just became a voter in another leader's log could refuse its vote
  /// to the only candidate that is left.
  base::LogIndex LastIndexFor(const base::HostId& host, base::LogIndex commit_index) const;
  AppendRequest MakeAppendRequest(const base::HostId& host, ReplicationProgress& peer,
                                  base::LogIndex commit_index);

  base::HostId self;
  const RaftSettings& settings;
  const RaftLog& log;
  std::map<base::HostId, ReplicationProgress> progress_by_host;
  HeartbeatRounds round_tracker;
  bool are_peers_departing = false;
};

}  // namespace sapphirecrank::consensus
