#pragma once

#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "runs/active_run.h"
#include "runs/finished_run.h"

namespace sapphirecrank::runs {

/// The runs that a target lists in its response to a poll.
struct TargetRunList {
  /// Incarnation of the target that responded.
  base::Incarnation incarnation;
  /// Time since the target's start, on its own clock, at the response.
  base::Duration clock{0};
  std::vector<ActiveRun> active_runs;
  /// Finished runs that have not been acknowledged, by sequence number. The list may be truncated.
  std::vector<FinishedRun> finished_runs;
};

}  // namespace sapphirecrank::runs
