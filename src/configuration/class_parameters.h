#pragma once

#include "base/units.h"
#include "configuration/percent.h"

namespace sapphirecrank::configuration {

/// How a preset treats one class of work.
struct PriorityClassParameters {
  /// Share of the slots that other classes leave free for this one.
  Percent reserved_slots;
  /// Share of the slots that long tasks of this class may hold.
  Percent long_task_slots{100};
  /// Tasks of one team that may wait in a queue.
  base::TaskCount queue_limit{10'000};

  friend bool operator==(const PriorityClassParameters& a, const PriorityClassParameters& b) {
    return a.reserved_slots == b.reserved_slots && a.long_task_slots == b.long_task_slots &&
           a.queue_limit == b.queue_limit;
  }
};

}  // namespace sapphirecrank::configuration
