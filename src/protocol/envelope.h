#pragma once

#include "base/ids.h"
#include "protocol/message.h"

namespace sapphirecrank::protocol {

/// A message with the numbers that make its delivery exactly-once between two live processes.
struct Envelope {
  /// Number of the message in its session, from 1; 0 for messages that may be lost.
  base::SequenceNumber sequence_number;
  /// All numbered messages up to this one have arrived at the sender.
  base::SequenceNumber acknowledged_up_to;
  /// Session of the sender with the receiver. What was sent in an earlier one is void.
  base::SessionNumber session_number;
  Message message;
};

}  // namespace sapphirecrank::protocol
