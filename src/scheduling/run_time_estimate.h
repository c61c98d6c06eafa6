#pragma once

#include "base/time.h"

namespace sapphirecrank::scheduling {

/// Expected run time of a task that has not started.
struct RunTimeEstimate {
  /// Used to order work and to charge teams.
  base::Duration expected{0};
  /// A time that the task will hardly undercut; used to refuse what can't make its deadline.
  base::Duration optimistic{0};
};

}  // namespace sapphirecrank::scheduling
