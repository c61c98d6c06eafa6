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
  base::TaskCount task_count;
  /// What each task needs.
  base::Resources required_resources;
  /// The caller's rough guess of a task's run time; zero if not given.
  base::Duration estimated_run_time{0};
  runs::PlacementRule placement_rule;
  /// The tasks run until the job is cancelled, and begin again however they end.
  bool is_long_running = false;
  /// Earlier steps whose tasks must all be done first.
  std::vector<base::StepIndex> dependencies;
};

}  // namespace sapphirecrank::gateway
