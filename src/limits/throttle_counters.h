#pragma once

#include <cstdint>

namespace sapphirecrank::limits {

/// Calls held back because their target was at its limit, since the start of the process.
struct ThrottleCounters {
  /// Held back by slots or connections, which always bind.
  int64_t at_capacity = 0;
  /// Held back by the learned limit.
  int64_t throttled = 0;
  /// Started although above the learned limit, because the preset switches throttling off.
  int64_t would_have_throttled = 0;
};

}  // namespace sapphirecrank::limits
