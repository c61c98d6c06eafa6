#pragma once

#include "base/time.h"

namespace sapphirecrank::scheduling {

/// Expected run time of a task that has not started.
struct RunTimeEstimate {
  /// Expected run time, used to order tasks and to charge teams.
  base::Duration expected{0};
  /// Run time below which the task is unlikely to end, or zero if too little is known. Used to
  /// refuse tasks that can't meet their deadline even with this run time.
  base::Duration optimistic{0};
};

}  // namespace sapphirecrank::scheduling
