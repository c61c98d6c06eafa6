#include "consensus/replication.h"

#include <algorithm>
#include <functional>

namespace sapphirecrank::consensus {

using base::HostId;
using base::LogIndex;
using base::SequenceNumber;
using base::TimePoint;

Replication::Replication(const HostId& self, const RaftSettings& settings, const RaftLog& log)
    : self(self), settings(settings), log(log) {}

void Replication::StartLeadership(TimePoint now) {
  this->progress_by_host.clear();
  this->round_tracker.Clear();
  this->UpdatePeers(now);
}

void Replication::UpdatePeers(TimePoint now) {
  const RaftMembership& membership = this->log.membership();
  std::map<HostId, ReplicationProgress> updated;
  for (const auto* hosts : {&membership.voters, &membership.learners}) {
    for (const HostId& host : *hosts) {
      if (host == this->self) {
        continue;
      }
      auto known = this->progress_by_host.find(host);
      ReplicationProgress peer;
      peer.next_index = this->log.last_index().Next();
      // A new host counts as heard from, so that it has time to answer.
      peer.last_response_at = now;
      peer.acknowledged_round = this->round_tracker.latest_confirmed_round();
      peer.is_heartbeat_due = true;
      updated[host] = known == this->progress_by_host.end() ? peer : known->second;
    }
  }
  this->progress_by_host = std::move(updated);
}

void Replication::StartHeartbeatRound(TimePoint now) {
  this->round_tracker.StartRound(now);
  for (auto& [host, peer] : this->progress_by_host) {
    peer.is_heartbeat_due = true;
  }
}

Replication::Messages Replication::CollectMessages(LogIndex commit, const RaftSnapshot& snapshot) {
  Messages messages;
  for (auto& [host, peer] : this->progress_by_host) {
    this->CollectPeerMessages(host, peer, commit, snapshot, messages);
  }
  return messages;
}

void Replication::CollectPeerMessages(const HostId& host, ReplicationProgress& peer,
                                      LogIndex commit, const RaftSnapshot& snapshot,
                                      Messages& messages) {
  if (peer.next_index <= this->log.base_index()) {
    this->CollectSnapshotChunk(host, peer, snapshot, messages);
    return;
  }
  peer.snapshot_index = LogIndex();
  for (;;) {
    bool has_news = peer.next_index <= this->log.last_index() || peer.sent_commit_index < commit;
    if (!peer.is_heartbeat_due && (peer.is_paused || !has_news)) {
      return;
    }
    messages.emplace_back(host, this->MakeAppendRequest(peer, commit));
    peer.is_heartbeat_due = false;
    peer.is_paused = peer.is_probing;
  }
}

void Replication::CollectSnapshotChunk(const HostId& host, ReplicationProgress& peer,
                                       const RaftSnapshot& snapshot, Messages& messages) {
  if (peer.snapshot_index != snapshot.index) {
    peer.snapshot_index = snapshot.index;
    peer.snapshot_bytes_received = base::ByteCount();
    peer.is_paused = false;
  }
  if (peer.is_paused && !peer.is_heartbeat_due) {
    return;
  }
  auto offset = static_cast<size_t>(peer.snapshot_bytes_received.value());
  auto limit = static_cast<size_t>(this->settings.snapshot_chunk_bytes.value());
  SnapshotChunk chunk;
  chunk.index = snapshot.index;
  chunk.term = snapshot.term;
  chunk.membership = snapshot.membership;
  chunk.offset = peer.snapshot_bytes_received;
  chunk.bytes = snapshot.state.substr(std::min(offset, snapshot.state.size()), limit);
  chunk.is_last = offset + chunk.bytes.size() >= snapshot.state.size();
  chunk.heartbeat_round = this->round_tracker.latest_started_round();
  messages.emplace_back(host, std::move(chunk));
  peer.is_heartbeat_due = false;
  peer.is_paused = true;
}

AppendRequest Replication::MakeAppendRequest(ReplicationProgress& peer, LogIndex commit) {
  AppendRequest request;
  request.previous_index = LogIndex(peer.next_index.value() - 1);
  request.previous_term = this->log.TermAt(request.previous_index).value_or(base::Term());
  request.entries = this->log.EntriesUpToSize(peer.next_index, this->settings.maximum_append_bytes);
  request.commit_index = commit;
  request.heartbeat_round = this->round_tracker.latest_started_round();
  request.confirmed_freshness_token = peer.confirmed_token;
  peer.sent_commit_index = commit;
  if (!peer.is_probing) {
    peer.next_index += LogIndex(request.entries.size());
  }
  return request;
}

void Replication::OnResponse(const HostId& from, const AppendResponse& answer, TimePoint now) {
  auto found = this->progress_by_host.find(from);
  if (found == this->progress_by_host.end()) {
    return;
  }
  ReplicationProgress& peer = found->second;
  peer.last_response_at = now;
  peer.acknowledged_round = std::max(peer.acknowledged_round, answer.heartbeat_round);
  peer.is_paused = false;
  if (!peer.pending_token && !(answer.freshness_token == peer.confirmed_token)) {
    peer.pending_token = answer.freshness_token;
    peer.pending_token_round = this->round_tracker.latest_started_round().Next();
  }
  if (!answer.accepted) {
    peer.is_probing = true;
    peer.next_index = std::min(answer.index.Next(), this->log.last_index().Next());
    return;
  }
  if (answer.durable) {
    peer.durable_index = std::max(peer.durable_index, answer.index);
  }
  peer.next_index = std::max(peer.next_index, answer.index.Next());
  peer.is_probing = false;
}

void Replication::OnResponse(const HostId& from, const SnapshotResponse& answer, TimePoint now) {
  auto found = this->progress_by_host.find(from);
  if (found == this->progress_by_host.end()) {
    return;
  }
  ReplicationProgress& peer = found->second;
  peer.last_response_at = now;
  peer.acknowledged_round = std::max(peer.acknowledged_round, answer.heartbeat_round);
  if (answer.index != peer.snapshot_index) {
    return;
  }
  peer.is_paused = false;
  peer.snapshot_bytes_received = answer.received_bytes;
  if (answer.installed) {
    peer.next_index = std::max(peer.next_index, answer.index.Next());
    peer.is_probing = true;
    if (answer.durable) {
      peer.durable_index = std::max(peer.durable_index, answer.index);
    }
  }
}

LogIndex Replication::QuorumDurableIndex(LogIndex own_durable) const {
  const RaftMembership& membership = this->log.membership();
  std::vector<LogIndex> durable;
  for (const HostId& voter : membership.voters) {
    const ReplicationProgress* peer = this->FindProgress(voter);
    if (voter == this->self) {
      durable.push_back(own_durable);
    } else if (peer != nullptr) {
      durable.push_back(peer->durable_index);
    }
  }
  if (durable.size() < membership.QuorumSize()) {
    return LogIndex();
  }
  std::sort(durable.begin(), durable.end(), std::greater<>());
  return durable[membership.QuorumSize() - 1];
}

void Replication::ConfirmRounds(bool answer_probes) {
  const RaftMembership& membership = this->log.membership();
  std::vector<SequenceNumber> answered;
  for (const HostId& voter : membership.voters) {
    const ReplicationProgress* peer = this->FindProgress(voter);
    if (voter == this->self) {
      answered.push_back(this->round_tracker.latest_started_round());
    } else if (peer != nullptr) {
      answered.push_back(peer->acknowledged_round);
    }
  }
  if (answered.size() < membership.QuorumSize()) {
    return;
  }
  std::sort(answered.begin(), answered.end(), std::greater<>());
  this->round_tracker.ConfirmUpTo(answered[membership.QuorumSize() - 1]);
  if (!answer_probes) {
    return;
  }
  for (auto& [host, peer] : this->progress_by_host) {
    if (peer.pending_token &&
        peer.pending_token_round <= this->round_tracker.latest_confirmed_round()) {
      peer.confirmed_token = *peer.pending_token;
      peer.pending_token.reset();
    }
  }
}

bool Replication::HasQuorumContact(TimePoint since) const {
  const RaftMembership& membership = this->log.membership();
  size_t contacts = this->IsSelfVoter() ? 1 : 0;
  for (const HostId& voter : membership.voters) {
    const ReplicationProgress* peer = this->FindProgress(voter);
    contacts += peer != nullptr && peer->last_response_at >= since ? 1 : 0;
  }
  return contacts >= membership.QuorumSize();
}

const ReplicationProgress* Replication::FindProgress(const HostId& host) const {
  auto found = this->progress_by_host.find(host);
  return found == this->progress_by_host.end() ? nullptr : &found->second;
}

bool Replication::IsSelfVoter() const {
  return this->log.membership().voters.count(this->self) != 0;
}

}  // namespace sapphirecrank::consensus
