#pragma once

#include <deque>
#include <vector>

#include "base/ids.h"
#include "protocol/envelope.h"
#include "protocol/message.h"

namespace sapphirecrank::peers {

/// Delivers messages exactly once and in order between two live processes over links that break.
///
/// Messages are numbered and kept until the other side acknowledges them; a new link sends the kept
/// ones again and the receiver drops those it has had. When the other process restarts, the kept
/// ones are dropped: they were meant for a process that is gone. A side that counts the other as
/// lost begins a new session; the other side learns its number with the next envelope. Thread
/// safety: none, the caller serialises.
class PeerSession {
 public:
  /// What is to be done with an envelope.
  enum class ReceiveResult {
    /// Its message was had before, or is of a session that the sender has ended.
    kDuplicateOrStale,
    kAccepted,
    /// As `kAccepted`, and the sender has begun a new session since the last envelope.
    kAcceptedInNewSession,
  };

  /// Numbers a message and returns what to send now. Precondition: `HasSendCapacity()`.
  protocol::Envelope MakeReliableEnvelope(protocol::Message message);

  /// Wraps a message that may be lost.
  protocol::Envelope MakeBestEffortEnvelope(protocol::Message message) const;

  /// Tells whether the kept messages are below their bound.
  bool HasSendCapacity() const;

  /// Tells whether the other side has acknowledged all messages.
  bool IsAllAcknowledged() const { return this->unacknowledged.empty(); }

  /// Tells that a link to the process `incarnation` is open; returns what to send again.
  std::vector<protocol::Envelope> OnLinkOpened(base::Incarnation incarnation);

  /// Tells that the other process is `incarnation` now.
  void OnPeerIncarnation(base::Incarnation incarnation);

  /// Tells whether `incarnation` is the other process as far as is known.
  bool IsCurrentIncarnation(base::Incarnation incarnation) const {
    return incarnation == this->receive_incarnation;
  }

  /// Takes in an envelope.
  ReceiveResult ReceiveEnvelope(const protocol::Envelope& envelope);

  /// Begins a new session because the other host counts as lost: drops the kept messages.
  void BeginNewSession();

  /// Returns the number of the session that this side has begun.
  base::SessionNumber session_number() const { return this->local_session_number; }

 private:
  base::Incarnation send_incarnation;
  base::SequenceNumber last_sent_number;
  std::deque<protocol::Envelope> unacknowledged;

  base::Incarnation receive_incarnation;
  base::SequenceNumber last_received_number;

  base::SessionNumber local_session_number{1};
  // Zero before the first envelope of the other process.
  base::SessionNumber remote_session_number;
};

}  // namespace sapphirecrank::peers
