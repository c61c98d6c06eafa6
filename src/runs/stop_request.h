#pragma once

#include "runs/run_key.h"
#include "runs/target_endpoint.h"

namespace sapphirecrank::runs {

/// Requests a target to stop a run. If the run hasn't started there, the target refuses a start
/// request for it that arrives later.
struct StopRequest {
  TargetEndpoint target;
  RunKey key;
};

}  // namespace sapphirecrank::runs
