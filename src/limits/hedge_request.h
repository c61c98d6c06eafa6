#pragma once

#include "base/ids.h"
#include "base/time.h"

namespace sapphirecrank::limits {

/// A request in flight that may be hedged.
struct HedgeRequest {
  base::TeamId team;
  base::TaskKind kind;
  /// Whether the caller declared that a second run does no harm; always false for tasks of jobs.
  bool idempotent = false;
  base::TimePoint deadline;
};

}  // namespace sapphirecrank::limits
