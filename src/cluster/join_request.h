#pragma once

#include "base/ids.h"

namespace sapphirecrank::cluster {

/// Asks the leader to take the sender into the group. Repeated until that has happened.
struct JoinRequest {
  /// The sender's name in the group, which changes with its disk.
  base::HostId member;
};

}  // namespace sapphirecrank::cluster
