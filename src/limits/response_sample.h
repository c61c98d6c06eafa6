#pragma once

#include "base/time.h"

namespace sapphirecrank::limits {

/// How a call to a target ended, as far as its concurrency limit cares.
struct ResponseSample {
  base::Duration elapsed{0};
  /// Learned run time of work of this kind; zero if unknown, then the response time isn't judged.
  base::Duration expected{0};
  /// The target refused the call for lack of capacity, or didn't answer in time.
  bool overloaded = false;
};

}  // namespace sapphirecrank::limits
