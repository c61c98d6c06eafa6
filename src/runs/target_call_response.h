#pragma once

#include <optional>

#include "base/time.h"
#include "runs/target_call_status.h"

namespace sapphirecrank::runs {

/// A target's response to a start or stop request.
struct TargetCallResponse {
  TargetCallStatus status = TargetCallStatus::kNoResponse;
  /// The target's clock at the response, if the response contained it.
  std::optional<base::Duration> target_clock;
};

}  // namespace sapphirecrank::runs
