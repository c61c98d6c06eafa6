#include "peers/peer_session.h"

#include <utility>

namespace sapphirecrank::peers {

using base::Incarnation;
using base::SequenceNumber;
using protocol::Envelope;

namespace {
// Allows 500,000 messages per second with one acknowledgement every 200 ms.
constexpr size_t kMaximumUnacknowledgedMessages = 100000;
}  // namespace

Envelope PeerSession::MakeReliableEnvelope(protocol::Message message) {
  this->last_sent_number = this->last_sent_number.Next();
  this->unacknowledged.push_back(
      {this->last_sent_number, SequenceNumber(0), this->local_session_number, std::move(message)});
  Envelope envelope = this->unacknowledged.back();
  envelope.acknowledged_up_to = this->last_received_number;
  return envelope;
}

Envelope PeerSession::MakeBestEffortEnvelope(protocol::Message message) const {
  return {SequenceNumber(0), this->last_received_number, this->local_session_number,
          std::move(message)};
}

bool PeerSession::HasSendCapacity() const {
  return this->unacknowledged.size() < kMaximumUnacknowledgedMessages;
}

std::vector<Envelope> PeerSession::OnLinkOpened(Incarnation incarnation) {
  if (incarnation != this->send_incarnation) {
    this->send_incarnation = incarnation;
    this->last_sent_number = SequenceNumber(0);
    this->unacknowledged.clear();
  }
  std::vector<Envelope> resent(this->unacknowledged.begin(), this->unacknowledged.end());
  for (Envelope& envelope : resent) {
    envelope.acknowledged_up_to = this->last_received_number;
  }
  return resent;
}

void PeerSession::OnPeerIncarnation(Incarnation incarnation) {
  if (incarnation != this->receive_incarnation) {
    this->receive_incarnation = incarnation;
    this->last_received_number = SequenceNumber(0);
    this->remote_session_number = base::SessionNumber();
  }
}

PeerSession::ReceiveResult PeerSession::ReceiveEnvelope(const Envelope& envelope) {
  if (envelope.session_number < this->remote_session_number) {
    return ReceiveResult::kDuplicateOrStale;
  }
  while (!this->unacknowledged.empty() &&
         this->unacknowledged.front().sequence_number <= envelope.acknowledged_up_to) {
    this->unacknowledged.pop_front();
  }
  const bool is_new_session = this->remote_session_number != base::SessionNumber() &&
                              envelope.session_number > this->remote_session_number;
  this->remote_session_number = envelope.session_number;
  if (envelope.sequence_number != SequenceNumber(0)) {
    if (envelope.sequence_number <= this->last_received_number) {
      return ReceiveResult::kDuplicateOrStale;
    }
    this->last_received_number = envelope.sequence_number;
  }
  return is_new_session ? ReceiveResult::kAcceptedInNewSession : ReceiveResult::kAccepted;
}

void PeerSession::BeginNewSession() {
  this->local_session_number = this->local_session_number.Next();
  this->unacknowledged.clear();
}

}  // namespace sapphirecrank::peers
