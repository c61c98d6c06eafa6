#pragma once

#include <string>
#include <string_view>

#include "runs/batch_key.h"

namespace sapphirecrank::runs {

/// How a part ended at its allocator.
struct BatchResult {
  enum class Outcome {
    /// All tasks are done.
    kCompleted,
    /// A task has failed as often as it may.
    kFailed,
    /// No task has begun and none will.
    kNotRun,
    /// Some tasks may have run; the rest were stopped.
    kUnfinished,
  };

  /// Returns the kind's name in logs. Thread safety: pure.
  static std::string_view OutcomeName(Outcome kind);

  BatchKey key;
  Outcome outcome = Outcome::kUnfinished;
  /// For logs.
  std::string reason;
};

}  // namespace sapphirecrank::runs
