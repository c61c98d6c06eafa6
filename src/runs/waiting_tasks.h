#pragma once

#include "base/ids.h"
#include "base/units.h"

namespace sapphirecrank::runs {

/// Number of tasks of one priority that wait for free capacity.
struct WaitingTasks {
  base::Priority priority;
  base::TaskCount count;

  friend bool operator==(const WaitingTasks& a, const WaitingTasks& b) {
    return a.priority == b.priority && a.count == b.count;
  }
};

}  // namespace sapphirecrank::runs
