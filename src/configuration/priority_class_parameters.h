#pragma once

#include "base/units.h"
#include "configuration/percent.h"

namespace sapphirecrank::configuration {

/// Parameters of a preset for one priority class.
struct PriorityClassParameters {
  /// Share of the slots that other priority classes leave free for this one.
  Percent reserved_slot_share;
  /// Maximum share of the slots that long tasks of this priority class may hold.
  Percent long_task_slot_share{100};
  /// Maximum number of tasks of one team in a queue.
  base::TaskCount queue_limit{10'000};

  friend bool operator==(const PriorityClassParameters& a, const PriorityClassParameters& b) {
    return a.reserved_slot_share == b.reserved_slot_share &&
           a.long_task_slot_share == b.long_task_slot_share && a.queue_limit == b.queue_limit;
  }
};

}  // namespace sapphirecrank::configuration
