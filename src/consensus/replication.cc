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

void Replication::StartLeadership(TimePoint now, LogIndex commit_index) {
  this->progress_by_host.clear();
  this->round_tracker.Clear();
  this->UpdatePeers(now, commit_index);
}

void Replication::UpdatePeers(TimePoint now, LogIndex commit_index) {
  const RaftMembership& latest = this->log.membership();
  const RaftMembership& committed = this->log.MembershipAt(commit_index);
  std::map<HostId, ReplicationProgress> updated_progress;
  this->are_peers_departing = false;
  for (const auto* hosts : {&latest.voters, &latest.learners, &latest.outgoing_voters,
                            &committed.voters, &committed.learners, &committed.outgoing_voters}) {
    for (const HostId& host : *hosts) {
      if (host == this->self) {
        continue;
      }
      this->are_peers_departing = this->are_peers_departing || !latest.IsMember(host);
      auto existing = this->progress_by_host.find(host);
      ReplicationProgress peer;
      peer.next_index = this->log.last_index().Next();
      // A new peer counts as having responded just now, so that it has time to respond.
      peer.last_response_at = now;
      peer.acknowledged_round = this->round_tracker.latest_confirmed_round();
      peer.is_heartbeat_due = true;
      updated_progress[host] = existing == this->progress_by_host.end() ? peer : existing->second;
    }
  }
  this->progress_by_host = std::move(updated_progress);
}

void Replication::StartHeartbeatRound(TimePoint now) {
  this->round_tracker.StartRound(now);
  for (auto& [host, peer] : this->progress_by_host) {
    peer.is_heartbeat_due = true;
  }
}

Replication::Messages Replication::CollectMessages(LogIndex commit_index,
                                                   const RaftSnapshot& snapshot) {
  Messages messages;
  for (auto& [host, peer] : this->progress_by_host) {
    this->CollectPeerMessages(host, peer, commit_index, snapshot, messages);
  }
  return messages;
}

void Replication::CollectPeerMessages(const HostId& host, ReplicationProgress& peer,
                                      LogIndex commit_index, const RaftSnapshot& snapshot,
                                      Messages& messages) {
  if (peer.next_index <= this->log.base_index()) {
    this->CollectSnapshotChunk(host, peer, snapshot, messages);
    return;
  }
  peer.snapshot_index = LogIndex();
  for (;;) {
    bool has_unsent_data = peer.next_index <= this->LastIndexFor(host, commit_index) ||
                           peer.sent_commit_index < commit_index;
    if (!peer.is_heartbeat_due && (peer.is_paused || !has_unsent_data)) {
      return;
    }
    messages.emplace_back(host, this->MakeAppendRequest(host, peer, commit_index));
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

LogIndex Replication::LastIndexFor(const HostId& host, LogIndex commit_index) const {
  const bool has_vote =
      this->log.membership().IsVoter(host) || this->log.MembershipAt(commit_index).IsVoter(host);
  return has_vote ? this->log.last_index() : commit_index;
}

AppendRequest Replication::MakeAppendRequest(const HostId& host, ReplicationProgress& peer,
                                             LogIndex commit_index) {
  AppendRequest request;
  request.previous_index = LogIndex(peer.next_index.value() - 1);
  request.previous_term = this->log.TermAt(request.previous_index).value_or(base::Term());
  request.entries = this->log.EntriesUpToSize(peer.next_index, this->settings.maximum_append_bytes);
  while (!request.entries.empty() &&
         request.entries.back().index > this->LastIndexFor(host, commit_index)) {
    request.entries.pop_back();
  }
  request.commit_index = commit_index;
  request.heartbeat_round = this->round_tracker.latest_started_round();
  request.confirmed_freshness_token = peer.confirmed_token;
  peer.sent_commit_index = commit_index;
  if (!peer.is_probing) {
    peer.next_index += LogIndex(request.entries.size());
  }
  return request;
}

void Replication::OnResponse(const HostId& from, const AppendResponse& response, TimePoint now) {
  auto found = this->progress_by_host.find(from);
  if (found == this->progress_by_host.end()) {
    return;
  }
  ReplicationProgress& peer = found->second;
  peer.last_response_at = now;
  peer.acknowledged_round = std::max(peer.acknowledged_round, response.heartbeat_round);
  peer.is_paused = false;
  peer.has_storage = response.durable;
  if (!peer.pending_token && !(response.freshness_token == peer.confirmed_token)) {
    peer.pending_token = response.freshness_token;
    peer.pending_token_round = this->round_tracker.latest_started_round().Next();
  }
  if (!response.accepted) {
    peer.is_probing = true;
    peer.next_index = std::min(response.index.Next(), this->log.last_index().Next());
    return;
  }
  if (response.durable) {
    peer.durable_index = std::max(peer.durable_index, response.index);
  }
  peer.next_index = std::max(peer.next_index, response.index.Next());
  peer.is_probing = false;
}

void Replication::OnResponse(const HostId& from, const SnapshotResponse& response, TimePoint now) {
  auto found = this->progress_by_host.find(from);
  if (found == this->progress_by_host.end()) {
    return;
  }
  ReplicationProgress& peer = found->second;
  peer.last_response_at = now;
  peer.acknowledged_round = std::max(peer.acknowledged_round, response.heartbeat_round);
  if (response.index != peer.snapshot_index) {
    return;
  }
  peer.is_paused = false;
  peer.snapshot_bytes_received = response.received_bytes;
  if (response.installed) {
    peer.next_index = std::max(peer.next_index, response.index.Next());
    peer.is_probing = true;
    if (response.durable) {
      peer.durable_index = std::max(peer.durable_index, response.index);
    }
  }
}

template <typename Value>
Value Replication::QuorumValue(
    Value own_value, const std::function<Value(const ReplicationProgress&)>& value_of) const {
  const auto majority_value = [&](const std::set<HostId>& voters) {
    std::vector<Value> values;
    for (const HostId& voter : voters) {
      const ReplicationProgress* peer = this->FindProgress(voter);
      if (voter == this->self) {
        values.push_back(own_value);
      } else {
        values.push_back(peer == nullptr ? Value() : value_of(*peer));
      }
    }
    std::sort(values.begin(), values.end(), std::greater<>());
    return values.empty() ? Value() : values[values.size() / 2];
  };
  const RaftMembership& membership = this->log.membership();
  const Value value = majority_value(membership.voters);
  return membership.outgoing_voters.empty()
             ? value
             : std::min(value, majority_value(membership.outgoing_voters));
}

LogIndex Replication::QuorumDurableIndex(LogIndex own_durable_index) const {
  return this->QuorumValue<LogIndex>(
      own_durable_index, [](const ReplicationProgress& peer) { return peer.durable_index; });
}

void Replication::ConfirmRounds(bool can_confirm_tokens) {
  const auto confirmed_round = this->QuorumValue<SequenceNumber>(
      this->round_tracker.latest_started_round(),
      [](const ReplicationProgress& peer) { return peer.acknowledged_round; });
  this->round_tracker.ConfirmUpTo(confirmed_round);
  if (!can_confirm_tokens) {
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
  return this->log.membership().IsQuorum([this, since](const HostId& voter) {
    const ReplicationProgress* peer = this->FindProgress(voter);
    return voter == this->self || (peer != nullptr && peer->last_response_at >= since);
  });
}

const ReplicationProgress* Replication::FindProgress(const HostId& host) const {
  auto found = this->progress_by_host.find(host);
  return found == this->progress_by_host.end() ? nullptr : &found->second;
}

}  // namespace sapphirecrank::consensus
