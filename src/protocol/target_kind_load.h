#pragma once

#include "base/resources.h"
#include "base/target_kind.h"
#include "base/units.h"

namespace sapphirecrank::protocol {

/// Load of the sender's targets of one kind.
struct TargetKindLoad {
  base::TargetKind target_kind = base::TargetKind::kWorker;
  base::SlotCount free_slots;
  base::SlotCount total_slots;
  base::TaskCount queued_tasks;
  /// The maximum of each resource over all targets. The maxima may belong to different targets.
  base::Resources largest_target_resources;
};

}  // namespace sapphirecrank::protocol
