#pragma once

#include <optional>

#include "base/ids.h"
#include "protocol/message.h"

namespace sapphirecrank::protocol {

/// A message with the numbers by which two running processes deliver it exactly once.
struct Envelope {
  /// Number of the message in its session, from 1; 0 for a message that may be lost.
  base::SequenceNumber sequence_number;
  /// The sender of the envelope has received all numbered messages up to this one.
  base::SequenceNumber acknowledged_up_to;
  /// The sender's session with the receiver. The receiver discards envelopes of earlier sessions.
  base::SessionNumber session_number;
  Message message;
  /// The receiver's session with the sender, as far as the sender knows it. Empty if it knows none
  /// yet, and in the envelopes of earlier program versions. The receiver discards numbered messages
  /// that were meant for a session that it has ended.
  std::optional<base::SessionNumber> receiver_session_number = std::nullopt;
};

}  // namespace sapphirecrank::protocol
