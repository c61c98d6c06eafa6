#pragma once

#include <optional>
#include <vector>

#include "base/error.h"
#include "frontend/task_result.h"

namespace sapphirecrank::frontend {

/// The result of a request or job: complete, with the bodies of all tasks, or failed.
struct WorkResult {
  /// Why the work failed; not set if it is complete.
  std::optional<base::Error> error;
  /// One for each task; empty if the work was rejected as a whole.
  std::vector<TaskResult> task_results;
};

}  // namespace sapphirecrank::frontend
