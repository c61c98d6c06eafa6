#include "peers/peer_session.h"

#include <utility>

namespace sapphirecrank::peers {

using base::Incarnation;
using base::SequenceNumber;
using protocol::Envelope;

namespace {
// With one acknowledgement every 200 ms this allows 500,000 messages a second.
constexpr size_t kMaximumUnacknowledgedMessages = 100000;
}  // namespace

Envelope PeerSession::MakeReliableEnvelope(protocol::Message message) {
  this->last_sent = this->last_sent.Next();
  this->kept.push_back({this->last_sent, SequenceNumber(0), this->own_session, std::move(message)});
  Envelope envelope = this->kept.back();
  envelope.acknowledged_up_to = this->last_received;
  return envelope;
}

Envelope PeerSession::MakeBestEffortEnvelope(protocol::Message message) const {
  return {SequenceNumber(0), this->last_received, this->own_session, std::move(message)};
}

bool PeerSession::CanSend() const { return this->kept.size() < kMaximumUnacknowledgedMessages; }

std::vector<Envelope> PeerSession::OnLinkOpened(Incarnation incarnation) {
  if (incarnation != this->sending_to) {
    this->sending_to = incarnation;
    this->last_sent = SequenceNumber(0);
    this->kept.clear();
  }
  std::vector<Envelope> again(this->kept.begin(), this->kept.end());
  for (Envelope& envelope : again) {
    envelope.acknowledged_up_to = this->last_received;
  }
  return again;
}

void PeerSession::OnPeerHello(Incarnation incarnation) {
  if (incarnation != this->receiving_from) {
    this->receiving_from = incarnation;
    this->last_received = SequenceNumber(0);
    this->other_session = base::SessionNumber();
  }
}

PeerSession::ReceiveResult PeerSession::ReceiveEnvelope(const Envelope& envelope) {
  if (envelope.session_number < this->other_session) {
    return ReceiveResult::kDuplicateOrStale;
  }
  while (!this->kept.empty() && this->kept.front().sequence_number <= envelope.acknowledged_up_to) {
    this->kept.pop_front();
  }
  const bool is_new_session =
      this->other_session != base::SessionNumber() && envelope.session_number > this->other_session;
  this->other_session = envelope.session_number;
  if (envelope.sequence_number != SequenceNumber(0)) {
    if (envelope.sequence_number <= this->last_received) {
      return ReceiveResult::kDuplicateOrStale;
    }
    this->last_received = envelope.sequence_number;
  }
  return is_new_session ? ReceiveResult::kAcceptedInNewSession : ReceiveResult::kAccepted;
}

void PeerSession::BeginNewSession() {
  this->own_session = this->own_session.Next();
  this->kept.clear();
}

}  // namespace sapphirecrank::peers
