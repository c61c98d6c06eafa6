#pragma once

#include "base/units.h"
#include "limits/units.h"

namespace sapphirecrank::limits {

/// Limits of one team on this entry host, from the configuration.
struct TeamLimits {
  /// Maximum number of accepted tasks that have not ended.
  base::TaskCount unfinished_tasks;
  /// Maximum rate of task starts.
  EventsPerSecond start_rate;
  /// Maximum number of tasks that may start at once after an idle period.
  EventCount start_burst;
  base::Weight weight{1};
};

}  // namespace sapphirecrank::limits
