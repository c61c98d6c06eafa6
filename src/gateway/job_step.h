#pragma once

#include <vector>

#include "base/ids.h"
#include "base/resources.h"
#include "base/time.h"
#include "base/units.h"
#include "runs/placement_rule.h"

namespace sapphirecrank::gateway {

/// Tasks of a job that may run at the same time.
struct JobStep {
  base::TaskCount count;
  /// What each task needs.
  base::Resources need;
  /// The caller's rough guess of a task's run time; zero if not given.
  base::Duration estimate{0};
  runs::PlacementRule rule;
  /// The tasks run until the job is cancelled, and begin again however they end.
  bool is_lasting = false;
  /// Earlier steps whose tasks must all be done first.
  std::vector<base::StepIndex> after;
};

}  // namespace sapphirecrank::gateway
