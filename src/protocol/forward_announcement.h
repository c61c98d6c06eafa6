#pragma once

#include "targets/target_announcement.h"

namespace sapphirecrank::protocol {

/// A target's announcement, forwarded to the owner of the target.
struct ForwardAnnouncement {
  targets::TargetAnnouncement announcement;
};

}  // namespace sapphirecrank::protocol
