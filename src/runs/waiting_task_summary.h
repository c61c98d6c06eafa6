#pragma once

#include <map>
#include <vector>

#include "base/units.h"
#include "runs/capacity_report.h"
#include "runs/leased_target.h"
#include "runs/placed_batch.h"
#include "runs/task_requirements.h"

namespace sapphirecrank::runs {

/// Counts an allocator's waiting tasks for its capacity report, by what they require of a target.
/// Tasks hold back only others that would use the same capacity, so that the receivers of the
/// report need to know which of them can use only a part of it.
///
/// Thread safety: none.
class WaitingTaskSummary {
 public:
  /// `usable_targets` can start runs now. Precondition: they outlive this object and don't change.
  explicit WaitingTaskSummary(std::vector<const LeasedTarget*> usable_targets);

  /// Adds the waiting tasks of a batch. Precondition: batches are added in the order of the queue.
  void Add(const PlacedBatch& placed);

  /// Sets the counts of waiting tasks in `capacity`. Precondition: the other counts are set.
  void WriteTo(CapacityReport::ServiceCapacity& capacity) const;

 private:
  /// Waiting tasks with the same requirements.
  struct Kind {
    base::TaskCount capacity;
    bool suits_all_targets = true;
    /// A task would fit on some target now.
    bool has_free_target = false;
    std::vector<WaitingTasks> waiting_by_priority;
  };

  Kind MakeKind(const TaskRequirements& requirements) const;
  static void AddTo(std::vector<WaitingTasks>& waiting_by_priority, const WaitingTasks& added);

  std::vector<const LeasedTarget*> usable_targets;
  std::map<TaskRequirements, Kind> kinds;
  /// The waiting tasks for which some usable target is suitable.
  std::vector<WaitingTasks> waiting_by_priority;
};

}  // namespace sapphirecrank::runs
