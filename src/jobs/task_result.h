#pragma once

#include <string>

#include "base/execution_verdict.h"
#include "base/ids.h"

namespace sapphirecrank::jobs {

/// How one task of a job ended.
struct TaskResult {
  base::TaskIndex index;
  base::ExecutionVerdict verdict = base::ExecutionVerdict::kNotRun;
  /// The task ran and its target answered with success.
  bool succeeded = false;
  /// The target's answer, or its error text.
  std::string body;
};

}  // namespace sapphirecrank::jobs
