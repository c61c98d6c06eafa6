#pragma once

#include <memory>
#include <string>

#include "base/time.h"
#include "runs/run_key.h"
#include "runs/target_endpoint.h"

namespace sapphirecrank::runs {

/// Requests a target to start a run.
struct StartRequest {
  TargetEndpoint target;
  RunKey key;
  std::shared_ptr<const std::string> payload;
  /// End of the target's lease on the target's clock. The target rejects a request that arrives
  /// later.
  base::Duration lease_end{0};
};

}  // namespace sapphirecrank::runs
