#pragma once

#include "base/ids.h"
#include "base/time.h"

namespace sapphirecrank::limits {

/// A request in flight that might get a second copy.
struct HedgeRequest {
  base::TeamId team;
  base::TaskKind kind;
  /// Whether the caller declared that a second run does no harm; false for each task of a job.
  bool idempotent = false;
  base::TimePoint deadline;
};

}  // namespace sapphirecrank::limits
