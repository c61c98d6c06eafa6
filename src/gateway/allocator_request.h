#pragma once

#include <map>
#include <optional>

#include "base/ids.h"
#include "base/time.h"
#include "base/units.h"
#include "runs/task_requirements.h"

namespace sapphirecrank::gateway {

/// What an allocator is wanted for.
struct AllocatorRequest {
  base::ServiceId service;
  base::TaskCount count;
  /// What each of the tasks requires.
  runs::TaskRequirements requirements;
  /// Allocators that are chosen only if there is no other one, and only if they have reported their
  /// capacity after the given time. For tasks that these allocators have given back.
  std::map<base::HostId, base::TimePoint> avoided;
  /// Choose only an allocator that has free capacity for all tasks, no waiting ones, and has
  /// reported recently.
  bool needs_free_capacity = false;
  /// Random number, at least 0 and less than 1, that decides between allocators that are equally
  /// good. Without it, the one with the least backlog for its size is chosen.
  std::optional<double> random_number;
};

}  // namespace sapphirecrank::gateway
