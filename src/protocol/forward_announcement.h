#pragma once

#include "targets/target_announcement.h"

namespace sapphirecrank::protocol {

/// An announcement of a target, passed on to the target's owner.
struct ForwardAnnouncement {
  targets::TargetAnnouncement announcement;
};

}  // namespace sapphirecrank::protocol
