#pragma once

#include "base/time.h"

namespace sapphirecrank::limits {

/// How a call to a target ended, as far as its concurrency limit cares.
struct ResponseSample {
  base::Duration response_time{0};
  /// Learned run time of work of this kind; zero if unknown, then the response time isn't judged.
  base::Duration expected_run_time{0};
  /// The target refused the call for lack of capacity, or didn't answer in time.
  bool is_overload = false;
};

}  // namespace sapphirecrank::limits
