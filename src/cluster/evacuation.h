#pragma once

#include "base/ids.h"
#include "base/time.h"

namespace sapphirecrank::cluster {

/// The evacuation of one data centre.
struct Evacuation {
  /// Time of day of the host that accepted the order; for operators only.
  base::TimeOfDay since;
  /// The host that led the group and accepted the order.
  base::HostId accepted_by;

  friend bool operator==(const Evacuation& a, const Evacuation& b) {
    return a.since == b.since && a.accepted_by == b.accepted_by;
  }
};

}  // namespace sapphirecrank::cluster
