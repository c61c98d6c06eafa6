#pragma once

#include <vector>

#include "base/ids.h"
#include "protocol/target_kind_load.h"

namespace sapphirecrank::protocol {

/// Sent by each host to every other host every 200 ms.
struct Heartbeat {
  base::SequenceNumber sequence_number;
  /// The sender accepts no new work.
  bool is_leaving = false;
  std::vector<TargetKindLoad> target_kind_loads;
};

}  // namespace sapphirecrank::protocol
