#pragma once

#include <string>

#include "base/error.h"
#include "base/execution_verdict.h"
#include "base/ids.h"
#include "base/task_key.h"
#include "base/time.h"

namespace sapphirecrank::dispatch {

/// How an assigned task ended; sent back to the host that assigned it, once for each placement.
struct TaskReport {
  base::TaskKey key;
  base::PlacementNumber placement;
  bool succeeded = false;
  base::ExecutionVerdict verdict = base::ExecutionVerdict::kMayHaveRun;
  /// The target's answer if the task ran.
  std::string body;
  /// Why the task didn't succeed; only meaningful if it didn't.
  base::Error error;
  /// Time on the target as its owner measured it; zero if the task was not started.
  base::Duration run_time{0};
};

}  // namespace sapphirecrank::dispatch
