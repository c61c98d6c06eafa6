#pragma once

#include "base/ids.h"
#include "membership/liveness.h"

namespace sapphirecrank::membership {

/// State of one host in the member table.
struct MemberState {
  Liveness liveness = Liveness::kUnknown;
  /// Of the process that answered last; zero if none did. Another value means that it restarted.
  base::Incarnation incarnation;

  friend bool operator==(const MemberState& a, const MemberState& b) {
    return a.liveness == b.liveness && a.incarnation == b.incarnation;
  }
  friend bool operator!=(const MemberState& a, const MemberState& b) { return !(a == b); }
};

}  // namespace sapphirecrank::membership
