#pragma once

#include <string>

#include "base/error.h"
#include "base/time.h"

namespace sapphirecrank::dispatch {

/// Outcome of a call to a target.
struct TargetResponse {
  /// Whether the target responded to this attempt with success.
  bool succeeded = false;
  base::ExecutionVerdict verdict = base::ExecutionVerdict::kMayHaveRun;
  std::string body;
  base::Error error;
  /// Time from the start decision to the response, set by `Dispatcher`; zero if the task never left
  /// the queue.
  base::Duration response_time{0};
  /// Whether the target responded with the id of another attempt.
  bool is_for_other_attempt = false;
};

}  // namespace sapphirecrank::dispatch
