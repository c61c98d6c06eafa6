#pragma once

#include <string>

#include "base/error.h"
#include "base/execution_verdict.h"

namespace sapphirecrank::frontend {

/// The end of one task as the caller gets it.
struct TaskResult {
  bool succeeded = false;
  base::ExecutionVerdict verdict = base::ExecutionVerdict::kMayHaveRun;
  std::string body;
  base::Error error;
};

}  // namespace sapphirecrank::frontend
