#pragma once

#include <string>

#include "base/error.h"
#include "base/execution_verdict.h"

namespace sapphirecrank::frontend {

/// The result of one task as it is reported to the caller.
struct TaskResult {
  bool succeeded = false;
  base::ExecutionVerdict verdict = base::ExecutionVerdict::kMayHaveRun;
  std::string body;
  base::Error error;
};

}  // namespace sapphirecrank::frontend
