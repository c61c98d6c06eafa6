#pragma once

#include "base/execution_verdict.h"
#include "base/ids.h"
#include "base/time.h"

namespace sapphirecrank::limits {

/// A failed attempt that may be retried.
struct RetryRequest {
  base::TeamId team;
  /// Verdict on the failed attempt.
  base::ExecutionVerdict verdict = base::ExecutionVerdict::kMayHaveRun;
  /// Whether the caller declared that a second run does no harm; always false for tasks of jobs.
  bool idempotent = false;
  /// Number of attempts that failed so far, at least 1.
  int failed_attempts = 1;
  base::TimePoint deadline;
  /// Learned run time of tasks of this kind; zero if unknown.
  base::Duration expected_run_time{0};
};

}  // namespace sapphirecrank::limits
