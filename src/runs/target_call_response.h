#pragma once

#include <optional>

#include "base/time.h"
#include "runs/target_call_status.h"

namespace sapphirecrank::runs {

/// A target's answer to a start or stop.
struct TargetCallResponse {
  TargetCallStatus status = TargetCallStatus::kNoResponse;
  /// The target's clock, if it gave it.
  std::optional<base::Duration> target_clock;
};

}  // namespace sapphirecrank::runs
