#pragma once

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

/// The leader's part of replication: what to send to whom, and what a quorum has.
///
/// Thread safety: none. The log outlives this object.
class Replication {
 public:
  using Messages = std::vector<std::pair<base::HostId, RaftMessage::Body>>;

  Replication(const base::HostId& self, const RaftSettings& settings, const RaftLog& log);

  /// Starts a leadership: nothing is known about the other hosts.
  void StartLeadership(base::TimePoint now);

  /// Adds and drops hosts so that they match the log's latest membership.
  void UpdatePeers(base::TimePoint now);

  /// Starts a round of heartbeats; `Collect` sends them.
  void StartHeartbeatRound(base::TimePoint now);

  /// Returns the messages that are due: heartbeats, entries, commit positions and snapshot chunks.
  Messages CollectMessages(base::LogIndex commit, const RaftSnapshot& snapshot);

  /// Takes an answer of the current term.
  void OnResponse(const base::HostId& from, const AppendResponse& answer, base::TimePoint now);

  /// Takes an answer of the current term.
  void OnResponse(const base::HostId& from, const SnapshotResponse& answer, base::TimePoint now);

  /// Returns the last entry that is on the synced storage of a quorum of the voters.
  base::LogIndex QuorumDurableIndex(base::LogIndex own_durable) const;

  /// Updates which rounds a quorum has answered. `answer_probes` tells whether the commit position
  /// includes everything committed by earlier leaders, so that tokens may be confirmed.
  void ConfirmRounds(bool answer_probes);

  /// Tells whether a quorum of the voters, with this host, answered at `since` or later.
  bool HasQuorumContact(base::TimePoint since) const;

  /// Returns what is known about a host, or null.
  const ReplicationProgress* FindProgress(const base::HostId& host) const;

  const HeartbeatRounds& heartbeat_rounds() const { return this->round_tracker; }
  const std::map<base::HostId, ReplicationProgress>& peer_progress() const {
    return this->progress_by_host;
  }

 private:
  bool IsSelfVoter() const;
  void CollectPeerMessages(const base::HostId& host, ReplicationProgress& peer,
                           base::LogIndex commit, const RaftSnapshot& snapshot, Messages& messages);
  void CollectSnapshotChunk(const base::HostId& host, ReplicationProgress& peer,
                            const RaftSnapshot& snapshot, Messages& messages);
  AppendRequest MakeAppendRequest(ReplicationProgress& peer, base::LogIndex commit);

  base::HostId self;
  const RaftSettings& settings;
  const RaftLog& log;
  std::map<base::HostId, ReplicationProgress> progress_by_host;
  HeartbeatRounds round_tracker;
};

}  // namespace sapphirecrank::consensus
