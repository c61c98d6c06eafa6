#include "gateway/allocator_selector.h"

#include <limits>
#include <tuple>
#include <utility>

#include "base/mutex_lock.h"

namespace sapphirecrank::gateway {

using base::HostId;
using base::TaskCount;

AllocatorSelector::AllocatorSelector(base::DataCentreId data_centre)
    : data_centre(std::move(data_centre)) {}

void AllocatorSelector::OnCapacityReport(const HostId& allocator,
                                         const runs::CapacityReport& report) {
  base::MutexLock lock(this->mutex);
  this->capacity_reports[allocator] = report;
}

void AllocatorSelector::OnAllocatorLost(const HostId& allocator) {
  base::MutexLock lock(this->mutex);
  this->capacity_reports.erase(allocator);
}

std::optional<HostId> AllocatorSelector::ChooseAllocator(const base::ServiceId& service,
                                                         TaskCount count) {
  return this->ChooseAllocatorBelowBacklog(service, count, std::numeric_limits<double>::infinity());
}

std::optional<HostId> AllocatorSelector::ChooseAllocatorWithoutFullBacklog(
    const base::ServiceId& service, TaskCount count) {
  return this->ChooseAllocatorBelowBacklog(service, count, 1.0);
}

std::optional<HostId> AllocatorSelector::ChooseAllocatorBelowBacklog(const base::ServiceId& service,
                                                                     TaskCount count,
                                                                     double maximum_backlog) {
  base::MutexLock lock(this->mutex);
  std::optional<HostId> best;
  runs::CapacityReport::ServiceCapacity* best_capacity = nullptr;
  // Prefers allocators with free capacity for all tasks, then those in this data centre, where
  // traffic costs least, then the one with the least backlog relative to its total capacity.
  std::tuple<bool, bool, double> best_rank;
  for (auto& [host, report] : this->capacity_reports) {
    for (runs::CapacityReport::ServiceCapacity& capacity : report.service_capacities) {
      if (capacity.service != service || report.is_leaving ||
          capacity.total_task_capacity <= TaskCount(0)) {
        continue;
      }
      const auto backlog =
          static_cast<double>((capacity.waiting_task_count - capacity.free_task_capacity).value()) /
          static_cast<double>(capacity.total_task_capacity.value());
      if (backlog >= maximum_backlog) {
        continue;
      }
      const auto rank = std::make_tuple(
          capacity.free_task_capacity >= count && capacity.waiting_task_count == TaskCount(0),
          report.data_centre == this->data_centre, -backlog);
      if (!best || rank > best_rank) {
        best = host;
        best_capacity = &capacity;
        best_rank = rank;
      }
    }
  }
  if (best_capacity != nullptr) {
    best_capacity->free_task_capacity -= count;
  }
  return best;
}

bool AllocatorSelector::HasReports() {
  base::MutexLock lock(this->mutex);
  return !this->capacity_reports.empty();
}

}  // namespace sapphirecrank::gateway
