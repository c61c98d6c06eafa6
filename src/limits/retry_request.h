#pragma once

#include "base/execution_verdict.h"
#include "base/ids.h"
#include "base/time.h"

namespace sapphirecrank::limits {

/// A failed attempt that might be tried again.
struct RetryRequest {
  base::TeamId team;
  /// Verdict on the failed attempt.
  base::ExecutionVerdict verdict = base::ExecutionVerdict::kMayHaveRun;
  /// Whether the caller declared that a second run does no harm; false for each task of a job.
  bool idempotent = false;
  /// Attempts that failed so far, from 1.
  int failed_attempts = 1;
  base::TimePoint deadline;
  /// Zero if unknown.
  base::Duration expected_run_time{0};
};

}  // namespace sapphirecrank::limits
