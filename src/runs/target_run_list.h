#pragma once

#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "runs/active_run.h"
#include "runs/finished_run.h"

namespace sapphirecrank::runs {

/// What a target lists of its runs.
struct TargetRunList {
  /// Start of this life of the target.
  base::Incarnation incarnation;
  /// The target's own clock at the answer, since its start.
  base::Duration clock{0};
  std::vector<ActiveRun> active_runs;
  /// Ends that have not been acknowledged, in order; the list may be cut.
  std::vector<FinishedRun> finished_runs;
};

}  // namespace sapphirecrank::runs
