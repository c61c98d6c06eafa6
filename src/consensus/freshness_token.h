#pragma once

#include "base/ids.h"
#include "base/time.h"

namespace sapphirecrank::consensus {

/// Identifies a follower's request for the commit index by the time of the request.
///
/// Only the process that issued a token interprets its time; other processes return it unchanged.
struct FreshnessToken {
  base::Incarnation incarnation;
  base::TimePoint issued_at;

  friend bool operator==(const FreshnessToken& a, const FreshnessToken& b) {
    return a.incarnation == b.incarnation && a.issued_at == b.issued_at;
  }
};

}  // namespace sapphirecrank::consensus
