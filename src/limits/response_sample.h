#pragma once

#include "base/time.h"

namespace sapphirecrank::limits {

/// Outcome of a call to a target, as used by the target's concurrency limit.
struct ResponseSample {
  base::Duration response_time{0};
  /// Learned run time of tasks of this kind. If it is unknown (zero), the response time is ignored.
  base::Duration expected_run_time{0};
  /// Whether the target refused the call for lack of capacity or didn't respond in time.
  bool is_overload = false;
};

}  // namespace sapphirecrank::limits
