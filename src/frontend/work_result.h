#pragma once

#include <optional>
#include <vector>

#include "base/error.h"
#include "frontend/task_result.h"

namespace sapphirecrank::frontend {

/// The answer to a request or job: complete with all bodies, or failed.
struct WorkResult {
  /// Why it failed; nothing if it is complete.
  std::optional<base::Error> error;
  /// One for each task; empty if the work was refused as a whole.
  std::vector<TaskResult> task_results;
};

}  // namespace sapphirecrank::frontend
