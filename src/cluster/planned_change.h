#pragma once

#include <string>

#include "consensus/membership_change.h"

namespace sapphirecrank::cluster {

/// A membership change that the leader's planner asks for.
struct PlannedChange {
  consensus::MembershipChange change;
  /// For the log.
  std::string reason;
};

}  // namespace sapphirecrank::cluster
