#pragma once

#include <set>
#include <string>
#include <vector>

#include "base/time.h"
#include "runs/job_task_key.h"
#include "runs/placed_batch.h"
#include "runs/returned_tasks.h"

namespace sapphirecrank::runs {

/// The waiting tasks of a batch that may leave this host, because no run of them may be active.
///
/// Thread safety: none.
class ReturnableTasks {
 public:
  /// Finds the tasks of `placed` that were queued by `queued_by`. `reserved_tasks` are those with a
  /// run that may be active.
  ReturnableTasks(const PlacedBatch& placed, const std::multiset<JobTaskKey>& reserved_tasks,
                  base::TimePoint queued_by);

  /// Positions of the tasks in the batch. Thread safety: pure.
  const std::vector<size_t>& positions() const { return this->task_positions; }

  /// Removes the tasks from those that wait and marks them as returned. They still count as
  /// unfinished. Precondition: `placed` is the batch of the constructor and hasn't changed since.
  void RemoveFrom(PlacedBatch& placed) const;

  /// Returns the message that gives the tasks back to the gateway of `placed`; `is_batch_ended` is
  /// left unset. Thread safety: pure.
  ReturnedTasks MakeMessage(const PlacedBatch& placed, std::string reason) const;

 private:
  std::vector<size_t> task_positions;
};

}  // namespace sapphirecrank::runs
