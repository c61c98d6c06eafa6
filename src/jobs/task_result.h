#pragma once

#include <string>

#include "base/execution_verdict.h"
#include "base/ids.h"

namespace sapphirecrank::jobs {

/// The result of one task of a job.
struct TaskResult {
  base::TaskIndex index;
  base::ExecutionVerdict verdict = base::ExecutionVerdict::kNotRun;
  /// The task ran and its target reported success.
  bool succeeded = false;
  /// The target's response, or an error text.
  std::string body;
};

}  // namespace sapphirecrank::jobs
