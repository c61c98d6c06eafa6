#pragma once

#include <vector>

#include "base/ids.h"
#include "base/resources.h"
#include "base/target_kind.h"
#include "base/units.h"

namespace sapphirecrank::targets {

/// State that a target announces about itself every 500 ms.
struct TargetAnnouncement {
  base::TargetId id;
  base::TargetKind kind = base::TargetKind::kWorker;
  base::NetworkAddress address;
  base::DataCentreId data_centre;
  base::RackId rack;
  base::SlotCount slots;
  base::ConnectionCount connections;
  base::Resources capacity;
  /// Whether the target is shutting down and takes no new work.
  bool leaving = false;
  /// Attempts that are running on the target.
  std::vector<base::AttemptId> running_attempts;
};

}  // namespace sapphirecrank::targets
