#pragma once

#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "base/units.h"
#include "runs/blocked_tasks.h"
#include "runs/waiting_tasks.h"

namespace sapphirecrank::runs {

/// How many tasks an allocator can start now, for each service.
struct CapacityReport {
  struct ServiceCapacity {
    base::ServiceId service;
    /// Further tasks that fit on the targets now, each with the smoothed mean of the processors
    /// that recent tasks required.
    base::TaskCount free_task_capacity;
    /// Tasks of the same size that fit on the targets when nothing runs there.
    base::TaskCount total_task_capacity;
    /// Tasks that wait for free capacity, without those for which no target is suitable.
    base::TaskCount waiting_task_count;
    /// The waiting tasks by priority, the highest priority first.
    std::vector<WaitingTasks> waiting_by_priority;
    /// Those of the waiting tasks that can't use all of the capacity, and those for which no target
    /// is suitable. Empty in reports of earlier program versions.
    std::vector<BlockedTasks> blocked_tasks;
    /// Mean time between two ends of runs, each of which frees the capacity of one task; zero if it
    /// is unknown. It isn't compared, because it changes all the time.
    base::Duration mean_end_interval{0};

    friend bool operator==(const ServiceCapacity& a, const ServiceCapacity& b) {
      return a.service == b.service && a.free_task_capacity == b.free_task_capacity &&
             a.total_task_capacity == b.total_task_capacity &&
             a.waiting_task_count == b.waiting_task_count &&
             a.waiting_by_priority == b.waiting_by_priority && a.blocked_tasks == b.blocked_tasks;
    }
  };

  base::DataCentreId data_centre;
  /// The allocator is leaving and accepts no new batches.
  bool is_leaving = false;
  /// The allocator answers a `BatchRecall`; those of earlier program versions can't decode it.
  bool accepts_recalls = false;
  std::vector<ServiceCapacity> service_capacities;

  friend bool operator==(const CapacityReport& a, const CapacityReport& b) {
    return a.data_centre == b.data_centre && a.is_leaving == b.is_leaving &&
           a.accepts_recalls == b.accepts_recalls && a.service_capacities == b.service_capacities;
  }
};

}  // namespace sapphirecrank::runs
