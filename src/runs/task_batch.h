#pragma once

#include <string>
#include <vector>

#include "base/time.h"
#include "runs/batch_key.h"
#include "runs/batch_task.h"
#include "runs/placement_rule.h"

namespace sapphirecrank::runs {

/// Tasks of one job that a gateway, or the stored job manager, places with one allocator.
struct TaskBatch {
  /// Number of runs of one task of a stored job after which the task is returned to the stored job
  /// manager.
  static constexpr uint32_t kMaximumRunsPerTask = 32;

  BatchKey key;
  base::ServiceId service;
  base::Priority priority;
  /// Number of failed runs of one task after which the batch fails.
  base::AttemptCount maximum_attempts{1};
  /// Input of each task.
  std::string payload;
  /// The tasks of the batch; all belong to one step of the job.
  std::vector<BatchTask> tasks;
  PlacementRule placement_rule;
  /// Rough estimate of a task's run time. Zero if there is none, as for tasks that run until their
  /// job is cancelled; their runs are then not checked for progress.
  base::Duration expected_run_time{0};
  /// If no task has started after this time, the batch ends with `BatchResult::Outcome::kNotRun`.
  base::Duration wait_limit{0};
  /// How long the tasks had waited before the batch was sent. Zero in batches of earlier program
  /// versions.
  base::Duration waited{0};
  /// After this time all runs of the batch are stopped.
  base::Duration time_left{0};
  /// The job is stored: the end of each run is reported to the stored job manager before it is
  /// acknowledged to the target, and tasks whose run has failed are returned to the manager.
  bool is_stored = false;
  /// The gateway places tasks elsewhere that the allocator gives back as `ReturnedTasks`. False for
  /// stored jobs, and for gateways of earlier program versions.
  bool can_be_returned = false;
  /// Run number of the first run of each task.
  base::RunNumber first_run_number{1};
};

}  // namespace sapphirecrank::runs
