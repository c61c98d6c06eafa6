#pragma once

#include <memory>
#include <string>
#include <vector>

#include "base/time.h"
#include "runs/task_batch.h"

namespace sapphirecrank::runs {

/// A part at its allocator.
struct PlacedBatch {
  struct TaskState {
    base::AttemptCount failed_run_count;
    base::RunNumber last_run_number;
    bool is_done = false;
    /// The task of a stored job is not done and was returned to its keeper.
    bool is_returned = false;
    /// Where the task runs; empty while it waits.
    base::TargetId target;
  };

  TaskBatch batch;
  std::shared_ptr<const std::string> payload;
  std::vector<TaskState> tasks;
  /// Positions of tasks without a run.
  std::vector<size_t> waiting_tasks;
  size_t unfinished_task_count = 0;
  /// Starts that were ordered and not refused.
  int start_count = 0;
  base::TimePoint arrived_at;
  uint64_t arrival_number = 0;
};

}  // namespace sapphirecrank::runs
