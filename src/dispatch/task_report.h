#pragma once

#include <string>

#include "base/error.h"
#include "base/execution_verdict.h"
#include "base/ids.h"
#include "base/task_key.h"
#include "base/time.h"

namespace sapphirecrank::dispatch {

/// Outcome of a placement of a task, sent exactly once to the host that assigned the task.
struct TaskReport {
  base::TaskKey key;
  base::PlacementNumber placement;
  bool succeeded = false;
  base::ExecutionVerdict verdict = base::ExecutionVerdict::kMayHaveRun;
  /// Response of the target if the task ran.
  std::string body;
  /// Why the task failed; meaningless if it succeeded.
  base::Error error;
  /// Time from the start decision to the response of the target, as measured by the owner of the
  /// target; zero if the task never left the queue.
  base::Duration response_time{0};
};

}  // namespace sapphirecrank::dispatch
