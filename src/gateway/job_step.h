#pragma once

#include <vector>

#include "base/ids.h"
#include "base/resources.h"
#include "base/time.h"
#include "base/units.h"
#include "runs/placement_rule.h"
#include "runs/task_requirements.h"

namespace sapphirecrank::gateway {

/// Tasks of a job that may run at the same time.
struct JobStep {
  base::TaskCount task_count;
  /// Resources that each task needs.
  base::Resources required_resources;
  /// The caller's rough estimate of a task's run time; zero if not given.
  base::Duration estimated_run_time{0};
  runs::PlacementRule placement_rule;
  /// The tasks run until the job is cancelled, and are started again whenever they end.
  bool is_long_running = false;
  /// Earlier steps all of whose tasks must be done before this step starts.
  std::vector<base::StepIndex> dependencies;

  /// Returns what each task requires of its target. Thread safety: pure.
  runs::TaskRequirements Requirements() const {
    return {this->placement_rule.required_label, this->required_resources};
  }
};

}  // namespace sapphirecrank::gateway
