#pragma once

#include "base/ids.h"
#include "base/time.h"

namespace sapphirecrank::consensus {

/// A question "what is committed now?" of a follower, marked with the time when it asked.
///
/// Only the process that made a token reads its time; other processes send it back unchanged.
struct FreshnessToken {
  base::Incarnation incarnation;
  base::TimePoint issued_at;

  friend bool operator==(const FreshnessToken& a, const FreshnessToken& b) {
    return a.incarnation == b.incarnation && a.issued_at == b.issued_at;
  }
};

}  // namespace sapphirecrank::consensus
