#pragma once

#include "base/ids.h"

namespace sapphirecrank::protocol {

/// Acknowledges the heartbeat with the same sequence number.
struct HeartbeatAck {
  base::SequenceNumber sequence_number;
};

}  // namespace sapphirecrank::protocol
