#pragma once

#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/time.h"
#include "runs/queue_position.h"
#include "runs/task_batch.h"

namespace sapphirecrank::runs {

/// A batch at its allocator, with the state of its tasks.
struct PlacedBatch {
  struct TaskState {
    base::AttemptCount failed_run_count;
    /// Start requests of the task sent and not refused by their targets.
    int start_count = 0;
    base::RunNumber last_run_number;
    bool is_done = false;
    /// The task isn't done and was given back to the gateway or the stored job manager.
    bool is_returned = false;
    /// The target that the task runs on; empty while the task waits.
    base::TargetId target;
    /// Targets on which a run of the task has failed or stalled. Others are preferred for the next.
    std::set<base::TargetId> failed_targets;
    int stalled_run_count = 0;
    /// When the task was last queued.
    base::TimePoint queued_at;
  };

  TaskBatch batch;
  std::shared_ptr<const std::string> payload;
  std::vector<TaskState> tasks;
  /// Positions in `tasks` of the tasks that wait to be started.
  std::vector<size_t> waiting_tasks;
  size_t unfinished_task_count = 0;
  /// Start requests sent and not refused by their targets.
  int start_count = 0;
  base::TimePoint arrived_at;
  uint64_t arrival_number = 0;
  /// No targets are reserved for the batch before this time, after a reservation that ended before
  /// the batch could start.
  base::TimePoint next_reservation_at;

  /// Returns the batch's place in the queue. Thread safety: pure.
  QueuePosition Position() const {
    return {this->batch.priority, this->arrived_at - this->batch.waited, this->arrival_number};
  }
};

}  // namespace sapphirecrank::runs
