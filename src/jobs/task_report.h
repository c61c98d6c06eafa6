#pragma once

#include <string>

#include "base/error_code.h"
#include "base/execution_verdict.h"
#include "base/ids.h"
#include "base/task_key.h"
#include "jobs/placement_number.h"

namespace sapphirecrank::jobs {

/// What the host that held a started task says about its end.
struct TaskReport {
  /// Epoch and placement of the start that the report is about.
  base::Epoch epoch;
  base::TaskKey key;
  PlacementNumber placement;
  /// `kNotRun` says that this placement has not run and never will.
  base::ExecutionVerdict verdict = base::ExecutionVerdict::kMayHaveRun;
  bool succeeded = false;
  /// The target's answer, or an error text.
  std::string body;
  /// Why the task failed; meaningless if `ok`. After "not run", `kUnsatisfiable`,
  /// `kInvalidArgument` and `kDeadlineExceeded` rule out another placement.
  base::ErrorCode error_code = base::ErrorCode::kTargetFailed;
};

}  // namespace sapphirecrank::jobs
