#pragma once

#include <map>

#include "base/ids.h"
#include "base/time.h"
#include "base/units.h"

namespace sapphirecrank::gateway {

/// What an allocator is wanted for.
struct AllocatorRequest {
  base::ServiceId service;
  base::TaskCount count;
  /// Allocators that are chosen only if there is no other one, and only if they have reported their
  /// capacity after the given time. For tasks that these allocators have given back.
  std::map<base::HostId, base::TimePoint> avoided;
  /// Choose only an allocator that has free capacity for all tasks, no waiting ones, and has
  /// reported recently.
  bool needs_free_capacity = false;
};

}  // namespace sapphirecrank::gateway
