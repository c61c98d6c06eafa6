#pragma once

#include "base/ids.h"
#include "protocol/message.h"

namespace sapphirecrank::protocol {

/// A message with the numbers that make its delivery exactly-once between two live processes.
struct Envelope {
  /// Number of the message in its session, from 1; 0 for messages that may be lost.
  base::Sequence number;
  /// All numbered messages up to this one have arrived at the sender.
  base::Sequence acknowledged;
  Message message;
};

}  // namespace sapphirecrank::protocol
