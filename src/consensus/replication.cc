#include "consensus/replication.h"

#include <algorithm>
#include <functional>

namespace sapphirecrank::consensus {

using base::HostId;
using base::LogIndex;
using base::Sequence;
using base::TimePoint;

Replication::Replication(const HostId& self, const RaftSettings& settings, const RaftLog& log)
    : self(self), settings(settings), log(log) {}

void Replication::Start(TimePoint now) {
  this->progress.clear();
  this->quorum_rounds.Clear();
  this->UpdateMembers(now);
}

void Replication::UpdateMembers(TimePoint now) {
  const RaftMembership& membership = this->log.membership();
  std::map<HostId, ReplicationProgress> updated;
  for (const auto* hosts : {&membership.voters, &membership.learners}) {
    for (const HostId& host : *hosts) {
      if (host == this->self) {
        continue;
      }
      auto known = this->progress.find(host);
      ReplicationProgress peer;
      peer.next = this->log.last_index().Next();
      // A new host counts as heard from, so that it has time to answer.
      peer.last_answer = now;
      peer.round = this->quorum_rounds.confirmed();
      peer.heartbeat_due = true;
      updated[host] = known == this->progress.end() ? peer : known->second;
    }
  }
  this->progress = std::move(updated);
}

void Replication::Heartbeat(TimePoint now) {
  this->quorum_rounds.Start(now);
  for (auto& [host, peer] : this->progress) {
    peer.heartbeat_due = true;
  }
}

Replication::Messages Replication::Collect(LogIndex commit, const RaftSnapshot& snapshot) {
  Messages messages;
  for (auto& [host, peer] : this->progress) {
    this->CollectFor(host, peer, commit, snapshot, messages);
  }
  return messages;
}

void Replication::CollectFor(const HostId& host, ReplicationProgress& peer, LogIndex commit,
                             const RaftSnapshot& snapshot, Messages& messages) {
  if (peer.next <= this->log.base_index()) {
    this->CollectChunk(host, peer, snapshot, messages);
    return;
  }
  peer.snapshot = LogIndex();
  for (;;) {
    bool has_news = peer.next <= this->log.last_index() || peer.sent_commit < commit;
    if (!peer.heartbeat_due && (peer.paused || !has_news)) {
      return;
    }
    messages.emplace_back(host, this->MakeAppend(peer, commit));
    peer.heartbeat_due = false;
    peer.paused = peer.probing;
  }
}

void Replication::CollectChunk(const HostId& host, ReplicationProgress& peer,
                               const RaftSnapshot& snapshot, Messages& messages) {
  if (peer.snapshot != snapshot.index) {
    peer.snapshot = snapshot.index;
    peer.snapshot_received = base::ByteCount();
    peer.paused = false;
  }
  if (peer.paused && !peer.heartbeat_due) {
    return;
  }
  auto offset = static_cast<size_t>(peer.snapshot_received.value());
  auto limit = static_cast<size_t>(this->settings.snapshot_chunk_bytes.value());
  SnapshotChunk chunk;
  chunk.index = snapshot.index;
  chunk.term = snapshot.term;
  chunk.membership = snapshot.membership;
  chunk.offset = peer.snapshot_received;
  chunk.bytes = snapshot.state.substr(std::min(offset, snapshot.state.size()), limit);
  chunk.is_last = offset + chunk.bytes.size() >= snapshot.state.size();
  chunk.heartbeat_round = this->quorum_rounds.current();
  messages.emplace_back(host, std::move(chunk));
  peer.heartbeat_due = false;
  peer.paused = true;
}

AppendRequest Replication::MakeAppend(ReplicationProgress& peer, LogIndex commit) {
  AppendRequest request;
  request.previous_index = LogIndex(peer.next.value() - 1);
  request.previous_term = this->log.TermAt(request.previous_index).value_or(base::Term());
  request.entries = this->log.Slice(peer.next, this->settings.append_bytes);
  request.commit_index = commit;
  request.heartbeat_round = this->quorum_rounds.current();
  request.confirmed_freshness_token = peer.confirmed;
  peer.sent_commit = commit;
  if (!peer.probing) {
    peer.next += LogIndex(request.entries.size());
  }
  return request;
}

void Replication::OnAnswer(const HostId& from, const AppendResponse& answer, TimePoint now) {
  auto found = this->progress.find(from);
  if (found == this->progress.end()) {
    return;
  }
  ReplicationProgress& peer = found->second;
  peer.last_answer = now;
  peer.round = std::max(peer.round, answer.heartbeat_round);
  peer.paused = false;
  if (!peer.waiting && !(answer.freshness_token == peer.confirmed)) {
    peer.waiting = answer.freshness_token;
    peer.waiting_round = this->quorum_rounds.current().Next();
  }
  if (!answer.accepted) {
    peer.probing = true;
    peer.next = std::min(answer.index.Next(), this->log.last_index().Next());
    return;
  }
  if (answer.durable) {
    peer.durable = std::max(peer.durable, answer.index);
  }
  peer.next = std::max(peer.next, answer.index.Next());
  peer.probing = false;
}

void Replication::OnAnswer(const HostId& from, const SnapshotResponse& answer, TimePoint now) {
  auto found = this->progress.find(from);
  if (found == this->progress.end()) {
    return;
  }
  ReplicationProgress& peer = found->second;
  peer.last_answer = now;
  peer.round = std::max(peer.round, answer.heartbeat_round);
  if (answer.index != peer.snapshot) {
    return;
  }
  peer.paused = false;
  peer.snapshot_received = answer.received_bytes;
  if (answer.installed) {
    peer.next = std::max(peer.next, answer.index.Next());
    peer.probing = true;
    if (answer.durable) {
      peer.durable = std::max(peer.durable, answer.index);
    }
  }
}

LogIndex Replication::QuorumIndex(LogIndex own_durable) const {
  const RaftMembership& membership = this->log.membership();
  std::vector<LogIndex> durable;
  for (const HostId& voter : membership.voters) {
    const ReplicationProgress* peer = this->Find(voter);
    if (voter == this->self) {
      durable.push_back(own_durable);
    } else if (peer != nullptr) {
      durable.push_back(peer->durable);
    }
  }
  if (durable.size() < membership.Quorum()) {
    return LogIndex();
  }
  std::sort(durable.begin(), durable.end(), std::greater<>());
  return durable[membership.Quorum() - 1];
}

void Replication::ConfirmRounds(bool answer_probes) {
  const RaftMembership& membership = this->log.membership();
  std::vector<Sequence> answered;
  for (const HostId& voter : membership.voters) {
    const ReplicationProgress* peer = this->Find(voter);
    if (voter == this->self) {
      answered.push_back(this->quorum_rounds.current());
    } else if (peer != nullptr) {
      answered.push_back(peer->round);
    }
  }
  if (answered.size() < membership.Quorum()) {
    return;
  }
  std::sort(answered.begin(), answered.end(), std::greater<>());
  this->quorum_rounds.Confirm(answered[membership.Quorum() - 1]);
  if (!answer_probes) {
    return;
  }
  for (auto& [host, peer] : this->progress) {
    if (peer.waiting && peer.waiting_round <= this->quorum_rounds.confirmed()) {
      peer.confirmed = *peer.waiting;
      peer.waiting.reset();
    }
  }
}

bool Replication::HasContact(TimePoint since) const {
  const RaftMembership& membership = this->log.membership();
  size_t contacts = this->IsVoter() ? 1 : 0;
  for (const HostId& voter : membership.voters) {
    const ReplicationProgress* peer = this->Find(voter);
    contacts += peer != nullptr && peer->last_answer >= since ? 1 : 0;
  }
  return contacts >= membership.Quorum();
}

const ReplicationProgress* Replication::Find(const HostId& host) const {
  auto found = this->progress.find(host);
  return found == this->progress.end() ? nullptr : &found->second;
}

bool Replication::IsVoter() const { return this->log.membership().voters.count(this->self) != 0; }

}  // namespace sapphirecrank::consensus
