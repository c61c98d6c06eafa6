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
/// ones are dropped: they were meant for a process that is gone. Thread safety: none, the caller
/// serialises.
class PeerSession {
 public:
  /// Numbers a message and returns what to send now. Precondition: `CanSend()`.
  protocol::Envelope Send(protocol::Message message);

  /// Wraps a message that may be lost.
  protocol::Envelope SendUnnumbered(protocol::Message message) const;

  /// Tells whether the kept messages are below their bound.
  bool CanSend() const;

  /// Tells whether the other side has acknowledged all messages.
  bool IsDelivered() const { return this->kept.empty(); }

  /// Tells that a link to the process `incarnation` is open; returns what to send again.
  std::vector<protocol::Envelope> OnLinkOpen(base::Incarnation incarnation);

  /// Tells that the other process, now `incarnation`, has opened a link to this one.
  void OnPeerHello(base::Incarnation incarnation);

  /// Takes in an envelope. Returns whether its message is new and is to be handled.
  bool OnReceive(const protocol::Envelope& envelope);

  /// Drops the kept messages because the other host counts as lost.
  void DropKept();

 private:
  base::Incarnation sending_to;
  base::Sequence last_sent;
  std::deque<protocol::Envelope> kept;

  base::Incarnation receiving_from;
  base::Sequence last_received;
};

}  // namespace sapphirecrank::peers
