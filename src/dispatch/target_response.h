#pragma once

#include <string>

#include "base/error.h"
#include "base/time.h"

namespace sapphirecrank::dispatch {

/// The end of one call of a target.
struct TargetResponse {
  /// The target answered this very attempt with success.
  bool succeeded = false;
  base::ExecutionVerdict verdict = base::ExecutionVerdict::kMayHaveRun;
  std::string body;
  base::Error error;
  /// Time from the call to its end; zero if there was no call.
  base::Duration run_time{0};
  /// The target answered with the id of another attempt.
  bool is_for_other_attempt = false;
};

}  // namespace sapphirecrank::dispatch
