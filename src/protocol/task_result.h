#pragma once

#include <string>

#include "base/error.h"
#include "base/execution_verdict.h"
#include "base/ids.h"
#include "base/task_key.h"
#include "base/time.h"

namespace sapphirecrank::protocol {

/// How one placement of a task ended.
struct TaskResult {
  base::TaskKey key;
  base::PlacementNumber placement;
  bool succeeded = false;
  base::ExecutionVerdict verdict = base::ExecutionVerdict::kMayHaveRun;
  std::string response_body;
  base::Error error;
  /// Time on the target as its owner measured it; zero if the task was not started.
  base::Duration run_time{0};
};

}  // namespace sapphirecrank::protocol
