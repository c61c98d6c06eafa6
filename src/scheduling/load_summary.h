#pragma once

#include "base/units.h"

namespace sapphirecrank::scheduling {

/// Load of one kind of targets at one entry host, sent to its peers.
struct LoadSummary {
  base::SlotCount free_slots;
  base::SlotCount total_slots;
  base::TaskCount queued_tasks;
  /// Largest resources that any one known target has in all, each taken separately.
  base::MilliCores largest_processors;
  base::ByteCount largest_memory;
  base::AcceleratorCount largest_accelerators;
};

}  // namespace sapphirecrank::scheduling
