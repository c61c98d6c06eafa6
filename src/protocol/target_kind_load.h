#pragma once

#include "base/resources.h"
#include "base/target_kind.h"
#include "base/units.h"

namespace sapphirecrank::protocol {

/// Load of one kind of targets at the sender.
struct TargetKindLoad {
  base::TargetKind target_kind = base::TargetKind::kWorker;
  base::SlotCount free_slots;
  base::SlotCount total_slots;
  base::TaskCount queued_tasks;
  /// Largest amounts that any one target has, each taken separately.
  base::Resources largest_target_resources;
};

}  // namespace sapphirecrank::protocol
