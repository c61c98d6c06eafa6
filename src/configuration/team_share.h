#pragma once

#include "base/units.h"

namespace sapphirecrank::configuration {

/// A team's share of the targets: its weight relative to other teams, and a limit.
struct TeamShare {
  base::Weight weight{1};
  /// Maximum number of slots that the team may hold at the same time; 0 means no limit.
  base::SlotCount slot_quota;

  friend bool operator==(const TeamShare& a, const TeamShare& b) {
    return a.weight == b.weight && a.slot_quota == b.slot_quota;
  }
};

}  // namespace sapphirecrank::configuration
