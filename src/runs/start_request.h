#pragma once

#include <memory>
#include <string>

#include "base/time.h"
#include "runs/run_key.h"
#include "runs/target_endpoint.h"

namespace sapphirecrank::runs {

/// Tells a target to start a run.
struct StartRequest {
  TargetEndpoint target;
  RunKey key;
  std::shared_ptr<const std::string> payload;
  /// End of the target's lease on the target's clock. An order that arrives later does nothing.
  base::Duration lease_end{0};
};

}  // namespace sapphirecrank::runs
