#pragma once

#include "base/ids.h"

namespace sapphirecrank::cluster {

/// Request to the leader to add the sender to the group. It is repeated until the sender is a
/// member.
struct JoinRequest {
  /// The sender's name in the group; see `MemberName`. It changes if the sender gets a new disk.
  base::HostId member;
};

}  // namespace sapphirecrank::cluster
