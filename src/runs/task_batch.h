#pragma once

#include <string>
#include <vector>

#include "base/time.h"
#include "runs/batch_key.h"
#include "runs/batch_task.h"
#include "runs/placement_rule.h"

namespace sapphirecrank::runs {

/// Tasks of one job that a gateway, or the keeper of a stored job, places with one allocator.
struct TaskBatch {
  /// Runs of one task of a stored job, after which it is returned to its keeper.
  static constexpr uint32_t kMaximumRunsPerTask = 32;

  BatchKey key;
  base::ServiceId service;
  base::Priority priority;
  /// Failed runs of a task after which the part fails.
  base::AttemptCount maximum_attempts{1};
  /// Handed to each task.
  std::string payload;
  /// Tasks of one step.
  std::vector<BatchTask> tasks;
  PlacementRule placement_rule;
  /// A part that has not begun after this long is refused.
  base::Duration wait_limit{0};
  /// Everything is stopped after this long.
  base::Duration time_left{0};
  /// The job is stored: each run's end is told to its keeper before the target hears that it is
  /// known, and tasks whose run has failed go back to it.
  bool is_stored = false;
  /// Number of each task's first run.
  base::RunNumber first_run_number{1};
};

}  // namespace sapphirecrank::runs
