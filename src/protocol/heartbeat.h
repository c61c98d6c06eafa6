#pragma once

#include <vector>

#include "base/ids.h"
#include "protocol/kind_load.h"

namespace sapphirecrank::protocol {

/// Sent by each host to each other one every 200 ms.
struct Heartbeat {
  base::SequenceNumber number;
  /// The sender takes no new work.
  bool leaving = false;
  std::vector<TargetKindLoad> loads;
};

}  // namespace sapphirecrank::protocol
