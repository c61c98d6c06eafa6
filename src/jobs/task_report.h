#pragma once

#include <string>

#include "base/error_code.h"
#include "base/execution_verdict.h"
#include "base/ids.h"
#include "base/task_key.h"
#include "jobs/placement_number.h"

namespace sapphirecrank::jobs {

/// A report on the end of a placement, from or on behalf of the host on which the task was placed.
struct TaskReport {
  /// Epoch, key and placement as in the `TaskStart` that the report is about.
  base::Epoch epoch;
  base::TaskKey key;
  PlacementNumber placement;
  /// `kNotRun` means that this placement has not run and never will.
  base::ExecutionVerdict verdict = base::ExecutionVerdict::kMayHaveRun;
  bool succeeded = false;
  /// The target's response, or an error text.
  std::string body;
  /// Why the task failed; meaningless if `succeeded`. If the task has not run, `kUnsatisfiable`,
  /// `kInvalidArgument` and `kDeadlineExceeded` prevent another placement.
  base::ErrorCode error_code = base::ErrorCode::kTargetFailed;
};

}  // namespace sapphirecrank::jobs
