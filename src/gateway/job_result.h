#pragma once

#include <string>

#include "base/time.h"

namespace sapphirecrank::gateway {

/// The final result of a job that isn't stored.
struct JobResult {
  enum class Outcome {
    kCompleted,
    kFailed,
    /// No task has run and none will. The caller may submit the job again after `retry_after`.
    kNotRun,
    /// Some tasks may have run; the remaining runs of the job are stopped.
    kUnfinished,
  };

  Outcome outcome = Outcome::kUnfinished;
  base::Duration retry_after{0};
  /// Why the job ended, for logs and the response to the caller.
  std::string reason;
};

}  // namespace sapphirecrank::gateway
