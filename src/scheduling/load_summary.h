#pragma once

#include "base/units.h"

namespace sapphirecrank::scheduling {

/// Load of the targets of one kind at one entry host, sent to its peers.
struct LoadSummary {
  base::SlotCount free_slots;
  base::SlotCount total_slots;
  base::TaskCount queued_tasks;
  /// Largest resources, in use or not, of any known target that isn't leaving, ejected or past its
  /// lease. Each maximum is taken separately.
  base::MilliCores largest_processors;
  base::ByteCount largest_memory;
  base::AcceleratorCount largest_accelerators;
};

}  // namespace sapphirecrank::scheduling
