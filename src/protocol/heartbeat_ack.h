#pragma once

#include "base/ids.h"

namespace sapphirecrank::protocol {

/// Answer to the heartbeat with the same number.
struct HeartbeatAck {
  base::SequenceNumber sequence_number;
};

}  // namespace sapphirecrank::protocol
