#pragma once

#include <vector>

#include "base/ids.h"
#include "base/units.h"

namespace sapphirecrank::runs {

/// What an allocator can start at the moment, service by service.
struct CapacityReport {
  struct ServiceCapacity {
    base::ServiceId service;
    /// Tasks of the mean size of late that fit at once.
    base::TaskCount free_task_capacity;
    /// The same if nothing ran.
    base::TaskCount total_task_capacity;
    /// Tasks that wait for room.
    base::TaskCount waiting_task_count;

    friend bool operator==(const ServiceCapacity& a, const ServiceCapacity& b) {
      return a.service == b.service && a.free_task_capacity == b.free_task_capacity &&
             a.total_task_capacity == b.total_task_capacity &&
             a.waiting_task_count == b.waiting_task_count;
    }
  };

  base::DataCentreId data_centre;
  /// The allocator takes no new work.
  bool is_leaving = false;
  std::vector<ServiceCapacity> service_capacities;

  friend bool operator==(const CapacityReport& a, const CapacityReport& b) {
    return a.data_centre == b.data_centre && a.is_leaving == b.is_leaving &&
           a.service_capacities == b.service_capacities;
  }
};

}  // namespace sapphirecrank::runs
