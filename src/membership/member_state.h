#pragma once

#include "base/ids.h"
#include "membership/liveness.h"

namespace sapphirecrank::membership {

/// State of one host in the member table.
struct MemberState {
  Liveness liveness = Liveness::kUnknown;
  /// Incarnation of the process that responded last; zero if none has. If it changes, the host has
  /// restarted.
  base::Incarnation incarnation;

  friend bool operator==(const MemberState& a, const MemberState& b) {
    return a.liveness == b.liveness && a.incarnation == b.incarnation;
  }
  friend bool operator!=(const MemberState& a, const MemberState& b) { return !(a == b); }
};

}  // namespace sapphirecrank::membership
