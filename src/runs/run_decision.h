#pragma once

#include <string>

#include "base/ids.h"
#include "runs/run_key.h"

namespace sapphirecrank::runs {

/// A decision about a run or a target, for the log.
struct RunDecision {
  /// Name of the kind of decision: a fixed text, which is also a label value of the metric
  /// `sapphirecrank_run_decisions_total`.
  const char* name = "";
  /// Empty if the decision concerns a target as a whole.
  RunKey key;
  base::TargetId target;
  base::FencingToken fencing_token;
  /// Why it was decided.
  std::string reason;
};

}  // namespace sapphirecrank::runs
