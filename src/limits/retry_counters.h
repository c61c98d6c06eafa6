#pragma once

#include <cstdint>

namespace sapphirecrank::limits {

/// What became of failed attempts, since the start of the process.
struct RetryCounters {
  int64_t retried = 0;
  int64_t denied_as_unsafe = 0;
  int64_t denied_by_deadline = 0;
  int64_t denied_by_budget = 0;
  /// Retries that only the preset prevented.
  int64_t would_have_retried = 0;
};

}  // namespace sapphirecrank::limits
