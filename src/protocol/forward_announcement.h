#pragma once

#include <vector>

#include "base/ids.h"
#include "base/resources.h"
#include "base/target_kind.h"
#include "base/units.h"

namespace sapphirecrank::protocol {

/// An announcement of a target, passed on to the target's owner.
struct ForwardAnnouncement {
  base::TargetId id;
  base::TargetKind kind = base::TargetKind::kWorker;
  base::NetworkAddress address;
  base::DataCentreId data_centre;
  base::RackId rack;
  base::SlotCount slots;
  base::ConnectionCount connections;
  base::Resources capacity;
  bool leaving = false;
  std::vector<base::AttemptId> running;
};

}  // namespace sapphirecrank::protocol
