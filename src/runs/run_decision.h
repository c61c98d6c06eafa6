#pragma once

#include <string>

#include "base/ids.h"
#include "runs/run_key.h"

namespace sapphirecrank::runs {

/// A decision about a run or a target, for the log.
struct RunDecision {
  /// What was decided, a fixed text.
  const char* description = "";
  /// Empty if the decision is about no run.
  RunKey key;
  base::TargetId target;
  base::FencingToken fencing_token;
  /// What decided it.
  std::string reason;
};

}  // namespace sapphirecrank::runs
