#pragma once

#include <cstdint>

namespace sapphirecrank::limits {

/// Counts attempts to call a target that was at a limit, since the process started.
struct ThrottleCounters {
  /// Calls denied by the target's slots or connections, which are always enforced.
  int64_t at_capacity = 0;
  /// Calls denied by the learned limit.
  int64_t throttled = 0;
  /// Calls that exceeded the learned limit but were allowed because the preset disables throttling.
  int64_t would_have_throttled = 0;
};

}  // namespace sapphirecrank::limits
