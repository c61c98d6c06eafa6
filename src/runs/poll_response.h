#pragma once

#include "runs/target_call_status.h"
#include "runs/target_run_list.h"

namespace sapphirecrank::runs {

/// A target's answer to a look; `look` is set if the outcome is `kAccepted`.
struct PollResponse {
  TargetCallStatus status = TargetCallStatus::kNoResponse;
  TargetRunList run_list;
};

}  // namespace sapphirecrank::runs
