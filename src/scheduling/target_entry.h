#pragma once

#include <cstddef>
#include <cstdint>

#include "base/time.h"
#include "scheduling/target_state.h"
#include "scheduling/usage.h"
#include "targets/health_state.h"

namespace sapphirecrank::scheduling {

/// A target in a `TargetIndex`, which alone changes it.
struct TargetEntry {
  static constexpr size_t kNotAvailable = SIZE_MAX;

  TargetState state;
  /// Place in the index, stable while the entry exists.
  size_t position = 0;
  /// Held by tasks that this scheduler started and that have not ended.
  Usage used_by_tasks;
  targets::HealthState health = targets::HealthState::kHealthy;
  /// Forgotten by the caller, but still running tasks.
  bool is_removed = false;
  /// Kept free for one task that needs much room.
  bool reserved = false;
  /// What the index has counted for this target in its sums.
  Usage counted_total;
  Usage counted_used;
  base::SlotCount counted_free_slots;
  /// Place among the targets with a free slot.
  size_t available_position = kNotAvailable;
  /// Time at which it becomes usable or its lease ends, or zero.
  base::TimePoint next_availability_change;
  /// Learned ratio of run time to expected run time.
  double slowdown = 1;
};

}  // namespace sapphirecrank::scheduling
