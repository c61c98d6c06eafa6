#pragma once

#include <cstdint>

namespace sapphirecrank::limits {

/// What became of requests that were slow enough for a second copy, since the process started.
struct HedgeCounters {
  int64_t sent = 0;
  int64_t denied_by_budget = 0;
  /// Copies that only the preset prevented.
  int64_t would_have_sent = 0;
};

}  // namespace sapphirecrank::limits
