#pragma once

#include "runs/target_call_status.h"
#include "runs/target_run_list.h"

namespace sapphirecrank::runs {

/// A target's response to a `PollRequest`; `run_list` is set if `status` is `kAccepted`.
struct PollResponse {
  TargetCallStatus status = TargetCallStatus::kNoResponse;
  TargetRunList run_list;
};

}  // namespace sapphirecrank::runs
