#include "peers/peer_session.h"

#include <utility>

namespace sapphirecrank::peers {

using base::Incarnation;
using base::SequenceNumber;
using base::SessionNumber;
using protocol::Envelope;

namespace {
// Allows 500,000 messages per second with one acknowledgement every 200 ms.
constexpr size_t kMaximumUnacknowledgedMessages = 100000;
}  // namespace

Envelope PeerSession::MakeReliableEnvelope(protocol::Message message) {
  this->last_sent_number = this->last_sent_number.Next();
  this->unacknowledged.push_back({this->last_sent_number, SequenceNumber(0),
                                  this->local_session_number, std::move(message),
                                  this->KnownRemoteSessionNumber()});
  Envelope envelope = this->unacknowledged.back();
  envelope.acknowledged_up_to = this->last_received_number;
  return envelope;
}

Envelope PeerSession::MakeBestEffortEnvelope(protocol::Message message) const {
  return {SequenceNumber(0), this->last_received_number, this->local_session_number,
          std::move(message), this->KnownRemoteSessionNumber()};
}

std::optional<SessionNumber> PeerSession::KnownRemoteSessionNumber() const {
  if (this->remote_session_number == SessionNumber()) {
    return std::nullopt;
  }
  return this->remote_session_number;
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
  const bool is_new_session = this->remote_session_number != SessionNumber() &&
                              envelope.session_number > this->remote_session_number;
  this->remote_session_number = envelope.session_number;
  if (is_new_session) {
    this->unacknowledged.clear();
    this->session_epoch = this->session_epoch.Next();
  }
  const bool is_duplicate = envelope.sequence_number != SequenceNumber(0) &&
                            envelope.sequence_number <= this->last_received_number;
  if (is_duplicate || this->IsForEndedSession(envelope)) {
    return is_new_session ? ReceiveResult::kStaleInNewSession : ReceiveResult::kDuplicateOrStale;
  }
  if (envelope.sequence_number != SequenceNumber(0)) {
    this->last_received_number = envelope.sequence_number;
  }
  return is_new_session ? ReceiveResult::kAcceptedInNewSession : ReceiveResult::kAccepted;
}

bool PeerSession::IsForEndedSession(const Envelope& envelope) const {
  // Unnumbered messages belong to no session: a heartbeat has to be answered, so that its sender
  // learns of the new session.
  return envelope.sequence_number != SequenceNumber(0) && envelope.receiver_session_number &&
         *envelope.receiver_session_number < this->local_session_number;
}

void PeerSession::BeginNewSession() {
  this->local_session_number = this->local_session_number.Next();
  this->session_epoch = this->session_epoch.Next();
  this->unacknowledged.clear();
}

}  // namespace sapphirecrank::peers
