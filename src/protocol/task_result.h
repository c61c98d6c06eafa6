#pragma once

#include <string>

#include "base/error.h"
#include "base/execution_verdict.h"
#include "base/ids.h"
#include "base/task_key.h"
#include "base/time.h"

namespace sapphirecrank::protocol {

/// Result of one placement of a task.
struct TaskResult {
  base::TaskKey key;
  base::PlacementNumber placement;
  bool succeeded = false;
  /// Whether the task ran.
  base::ExecutionVerdict verdict = base::ExecutionVerdict::kMayHaveRun;
  std::string response_body;
  base::Error error;
  /// Run time as measured by the owner of the target; zero if the task was not started.
  base::Duration run_time{0};
};

}  // namespace sapphirecrank::protocol
