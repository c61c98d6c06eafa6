#pragma once

#include "base/ids.h"
#include "base/time.h"

namespace sapphirecrank::consensus {

/// Time at which a follower sent a response to the leader. The leader returns it together with a
/// commit index that covers all entries that were committed before that time.
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
