#pragma once

#include "base/execution_verdict.h"
#include "base/time.h"

namespace sapphirecrank::scheduling {

/// How a started task ended, as far as scheduling cares.
struct TaskOutcome {
  base::ExecutionVerdict verdict = base::ExecutionVerdict::kRan;
  /// The target answered that the task succeeded.
  bool succeeded = false;
  /// Time from the start decision to the answer.
  base::Duration response_time{0};
};

}  // namespace sapphirecrank::scheduling
