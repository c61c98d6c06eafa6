#pragma once

#include <cstdint>

namespace sapphirecrank::limits {

/// Counts the requests that were slow enough for a hedge, by decision, since the process started.
struct HedgeCounters {
  int64_t sent = 0;
  int64_t denied_by_budget = 0;
  /// Hedges that were prevented only because the preset disables hedging.
  int64_t would_have_sent = 0;
};

}  // namespace sapphirecrank::limits
