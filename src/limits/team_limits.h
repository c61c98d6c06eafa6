#pragma once

#include "base/units.h"
#include "limits/units.h"

namespace sapphirecrank::limits {

/// What one team may use of this entry host, from the configuration.
struct TeamLimits {
  /// Accepted and unfinished tasks.
  base::TaskCount unfinished_tasks;
  EventsPerSecond start_rate;
  /// Task starts that may come at once after a quiet time.
  EventCount start_burst;
  base::Weight weight{1};
};

}  // namespace sapphirecrank::limits
