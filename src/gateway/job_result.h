#pragma once

#include <string>

#include "base/time.h"

namespace sapphirecrank::gateway {

/// The end of a job that isn't stored.
struct JobResult {
  enum class Outcome {
    kCompleted,
    kFailed,
    /// No task has run and none will; `retry_after` says when to come back.
    kNotRun,
    /// Some tasks may have run; no task of the job runs on.
    kUnfinished,
  };

  Outcome outcome = Outcome::kUnfinished;
  base::Duration retry_after{0};
  std::string reason;
};

}  // namespace sapphirecrank::gateway
