#pragma once

#include "base/units.h"

namespace sapphirecrank::configuration {

/// A team's share of the targets.
struct TeamShare {
  base::Weight weight{1};
  /// Slots that the team may hold at once; 0 means no limit.
  base::SlotCount slot_quota;

  friend bool operator==(const TeamShare& a, const TeamShare& b) {
    return a.weight == b.weight && a.slot_quota == b.slot_quota;
  }
};

}  // namespace sapphirecrank::configuration
