#pragma once

#include "runs/order_outcome.h"
#include "runs/target_look.h"

namespace sapphirecrank::runs {

/// A target's answer to a look; `look` is set if the outcome is `kAccepted`.
struct PollResponse {
  TargetCallStatus status = TargetCallStatus::kNoResponse;
  TargetRunList run_list;
};

}  // namespace sapphirecrank::runs
