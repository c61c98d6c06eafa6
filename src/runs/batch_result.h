#pragma once

#include <string>
#include <string_view>

#include "runs/batch_key.h"

namespace sapphirecrank::runs {

/// The final result of a batch at its allocator.
struct BatchResult {
  enum class Outcome {
    /// All tasks are done.
    kCompleted,
    /// A task has failed as often as `TaskBatch::maximum_attempts` allows.
    kFailed,
    /// No task was started and none will be.
    kNotRun,
    /// Some tasks may have run; the others were stopped or returned to the stored job manager.
    kUnfinished,
  };

  /// Returns the name of `outcome` in logs and metrics. Thread safety: pure.
  static std::string_view OutcomeName(Outcome outcome);

  BatchKey key;
  Outcome outcome = Outcome::kUnfinished;
  /// Why the batch ended, for logs and the response to the caller.
  std::string reason;
};

}  // namespace sapphirecrank::runs
