#pragma once

#include <cstdint>

namespace sapphirecrank::limits {

/// Counts failed attempts by retry decision since the process started.
struct RetryCounters {
  int64_t retried = 0;
  int64_t denied_as_unsafe = 0;
  int64_t denied_by_deadline = 0;
  int64_t denied_by_budget = 0;
  /// Retries that were prevented only because the preset disables retries.
  int64_t would_have_retried = 0;
};

}  // namespace sapphirecrank::limits
