#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "runs/capacity_report.h"

namespace sapphirecrank::gateway {

/// The capacity of one allocator for one service, as known from its last report.
struct AllocatorCapacity {
  base::HostId allocator;
  /// The allocator is in the gateway's data centre.
  bool is_near = false;
  /// See `runs::CapacityReport::accepts_recalls`.
  bool accepts_recalls = false;
  base::TimePoint reported_at;
  /// The tasks that this gateway has placed since the report are subtracted from the free ones.
  runs::CapacityReport::ServiceCapacity capacity;
};

}  // namespace sapphirecrank::gateway
