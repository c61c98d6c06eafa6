#pragma once

#include <string>
#include <vector>

#include "base/ids.h"
#include "runs/batch_key.h"
#include "runs/job_task_key.h"

namespace sapphirecrank::runs {

/// Tasks of a batch that an allocator gives back to the gateway, so that they can be placed
/// elsewhere.
///
/// The allocator has no run of these tasks that may be active, and starts none. Tasks of stored
/// jobs are returned to the stored job manager by `RunEvent::Kind::kReturned` instead.
struct ReturnedTasks {
  struct Task {
    JobTaskKey key;
    /// Lowest run number that a further run of the task may have.
    base::RunNumber next_run{1};
  };

  BatchKey key;
  std::vector<Task> tasks;
  /// No task of the batch is left at the allocator, and no `BatchResult` follows.
  bool is_batch_ended = false;
  /// A run of one of these tasks may have been active before, so that a refusal of the job can't
  /// say that it has not run.
  bool may_have_run = false;
  /// For logs.
  std::string reason;
};

}  // namespace sapphirecrank::runs
