#pragma once

#include <deque>
#include <optional>
#include <vector>

#include "base/ids.h"
#include "protocol/envelope.h"
#include "protocol/message.h"

namespace sapphirecrank::peers {

/// Delivers messages exactly once and in order between two live processes over links that break.
///
/// Reliable messages are numbered and kept until the other side acknowledges them. They are sent
/// again on a new link, and the receiver drops duplicates. When the other process restarts, the
/// unacknowledged messages are dropped, because they were meant for the ended process.
///
/// A side that counts the other as lost begins a new session; the other side learns the session's
/// number from the next envelope. What either side has sent before is void then: the side that
/// learns of the new session drops its unacknowledged messages, and the side that has begun it
/// drops the messages that were sent without knowledge of it, which may arrive long after. Thread
/// safety: none; the caller must serialise all calls.
class PeerSession {
 public:
  /// Tells whether the caller should handle the message of a received envelope.
  enum class ReceiveResult {
    /// The message was received before, or either side has ended its session: drop it.
    kDuplicateOrStale,
    /// As `kDuplicateOrStale`, and the sender has begun a new session since the last envelope.
    kStaleInNewSession,
    /// The message is new: handle it.
    kAccepted,
    /// As `kAccepted`, and the sender has begun a new session since the last envelope.
    kAcceptedInNewSession,
  };

  /// Numbers a message, keeps it until it is acknowledged, and returns the envelope to send.
  /// Precondition: `HasSendCapacity()`.
  protocol::Envelope MakeReliableEnvelope(protocol::Message message);

  /// Returns an envelope for a message that may be lost.
  protocol::Envelope MakeBestEffortEnvelope(protocol::Message message) const;

  /// Tells whether the number of unacknowledged messages is below its maximum.
  bool HasSendCapacity() const;

  /// Tells whether the other side has acknowledged all reliable messages.
  bool IsAllAcknowledged() const { return this->unacknowledged.empty(); }

  /// Handles a new link to the process `incarnation`; returns the envelopes to send again on it.
  std::vector<protocol::Envelope> OnLinkOpened(base::Incarnation incarnation);

  /// Handles the incarnation that the other process has reported. If it is a new one, forgets the
  /// sequence and session numbers received from the earlier process.
  void OnPeerIncarnation(base::Incarnation incarnation);

  /// Tells whether `incarnation` is the latest known one of the other process.
  bool IsCurrentIncarnation(base::Incarnation incarnation) const {
    return incarnation == this->receive_incarnation;
  }

  /// Handles a received envelope: drops the messages that it acknowledges, or all of them if the
  /// other side has begun a new session, and detects duplicates and messages of ended sessions.
  ReceiveResult ReceiveEnvelope(const protocol::Envelope& envelope);

  /// Begins a new session because the other host counts as lost; drops all unacknowledged messages.
  void BeginNewSession();

  /// Returns the number of the session that this side has begun.
  base::SessionNumber session_number() const { return this->local_session_number; }

  /// Returns a number that increases when either side ends the present session.
  base::SessionEpoch epoch() const { return this->session_epoch; }

 private:
  /// Tells whether an envelope holds a numbered message that its sender meant for a session that
  /// this side has ended.
  bool IsForEndedSession(const protocol::Envelope& envelope) const;
  /// Returns the other side's session number, empty if it isn't known.
  std::optional<base::SessionNumber> KnownRemoteSessionNumber() const;

  base::Incarnation send_incarnation;
  base::SequenceNumber last_sent_number;
  std::deque<protocol::Envelope> unacknowledged;

  base::Incarnation receive_incarnation;
  base::SequenceNumber last_received_number;

  base::SessionNumber local_session_number{1};
  // Zero before the first envelope from the other process.
  base::SessionNumber remote_session_number;
  base::SessionEpoch session_epoch{1};
};

}  // namespace sapphirecrank::peers
