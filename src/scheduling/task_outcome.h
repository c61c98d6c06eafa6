#pragma once

#include "base/execution_verdict.h"
#include "base/time.h"

namespace sapphirecrank::scheduling {

/// Outcome of a started task, as far as the scheduler needs it.
struct TaskOutcome {
  base::ExecutionVerdict verdict = base::ExecutionVerdict::kRan;
  /// The target reported that the task succeeded.
  bool succeeded = false;
  /// Time from the start decision to the target's response; zero if unknown.
  base::Duration response_time{0};
};

}  // namespace sapphirecrank::scheduling
