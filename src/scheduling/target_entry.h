#pragma once

#include <cstddef>
#include <cstdint>

#include "base/time.h"
#include "scheduling/target_state.h"
#include "scheduling/usage.h"
#include "targets/health_state.h"

namespace sapphirecrank::scheduling {

/// A target in a `TargetIndex`. Only the index changes it.
struct TargetEntry {
  /// Value of `available_position` for a target without free slots.
  static constexpr size_t kNotAvailable = SIZE_MAX;

  TargetState state;
  /// Position in the index; doesn't change while the entry exists.
  size_t position = 0;
  /// Slots and resources of the tasks that this scheduler started and that have not ended.
  Usage used_by_tasks;
  targets::HealthState health = targets::HealthState::kHealthy;
  /// Removed by the caller; the entry stays while it runs tasks or is reserved.
  bool is_removed = false;
  /// Kept free for a task that found no target.
  bool reserved = false;
  /// What this target contributes to the totals of the index.
  Usage counted_total;
  Usage counted_used;
  base::SlotCount counted_free_slots;
  /// Index in the list of targets with free slots, or `kNotAvailable`.
  size_t available_position = kNotAvailable;
  /// Next time at which the target becomes usable or its lease ends; zero if there is none.
  base::TimePoint next_availability_change;
  /// Moving average of the ratio of run time to expected run time.
  double slowdown = 1;
};

}  // namespace sapphirecrank::scheduling
