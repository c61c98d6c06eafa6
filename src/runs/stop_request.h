#pragma once

#include "runs/run_key.h"
#include "runs/target_endpoint.h"

namespace sapphirecrank::runs {

/// Tells a target to stop a run; one that has not begun is then refused.
struct StopRequest {
  TargetEndpoint target;
  RunKey key;
};

}  // namespace sapphirecrank::runs
