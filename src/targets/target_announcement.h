#pragma once

#include <vector>

#include "base/ids.h"
#include "base/resources.h"
#include "base/target_kind.h"
#include "base/units.h"

namespace sapphirecrank::targets {

/// What a target says about itself, every 500 ms.
struct TargetAnnouncement {
  base::TargetId id;
  base::TargetKind kind = base::TargetKind::kWorker;
  base::NetworkAddress address;
  base::DataCentreId data_centre;
  base::RackId rack;
  base::SlotCount slots;
  base::ConnectionCount connections;
  base::Resources capacity;
  /// The target takes no new work any more.
  bool leaving = false;
  /// Attempts that run on the target now.
  std::vector<base::AttemptId> running_attempts;
};

}  // namespace sapphirecrank::targets
