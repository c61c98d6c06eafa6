#include "gateway/allocator_selector.h"

#include <algorithm>
#include <limits>
#include <tuple>
#include <utility>

#include "base/mutex_lock.h"

namespace sapphirecrank::gateway {

using base::HostId;
using base::TaskCount;

namespace {

constexpr base::Duration kPreferredReportAge = std::chrono::milliseconds(250);
constexpr base::Duration kMaximumReportAge = std::chrono::milliseconds(500);

}  // namespace

AllocatorSelector::AllocatorSelector(base::DataCentreId data_centre, base::Clock now)
    : data_centre(std::move(data_centre)), now(std::move(now)) {}

bool AllocatorSelector::CanTakeTasks(const ReceivedReport& received,
                                     const runs::CapacityReport::ServiceCapacity& capacity,
                                     const base::ServiceId& service, base::TimePoint now) {
  return capacity.service == service && !received.report.is_leaving &&
         capacity.total_task_capacity > TaskCount(0) &&
         now - received.received_at < kMaximumReportAge;
}

void AllocatorSelector::OnCapacityReport(const HostId& allocator,
                                         const runs::CapacityReport& report) {
  base::MutexLock lock(this->mutex);
  this->capacity_reports[allocator] = {report, this->now()};
}

void AllocatorSelector::OnAllocatorLost(const HostId& allocator) {
  base::MutexLock lock(this->mutex);
  this->capacity_reports.erase(allocator);
}

std::optional<HostId> AllocatorSelector::ChooseAllocator(const base::ServiceId& service,
                                                         TaskCount count) {
  return this->ChooseAllocatorBelowBacklog(service, count, std::numeric_limits<double>::infinity(),
                                           {});
}

std::optional<HostId> AllocatorSelector::ChooseAllocatorWithoutFullBacklog(
    const base::ServiceId& service, TaskCount count, const std::set<HostId>& avoided) {
  return this->ChooseAllocatorBelowBacklog(service, count, 1.0, avoided);
}

std::optional<HostId> AllocatorSelector::ChooseAllocatorBelowBacklog(
    const base::ServiceId& service, TaskCount count, double maximum_backlog,
    const std::set<HostId>& avoided) {
  base::MutexLock lock(this->mutex);
  std::optional<HostId> best;
  runs::CapacityReport::ServiceCapacity* best_capacity = nullptr;
  // Prefers allocators with a recent report, then those that aren't avoided, then those with free
  // capacity for all tasks, then those in this data centre, where traffic costs least, then the one
  // with the least backlog relative to its total capacity.
  std::tuple<bool, bool, bool, bool, double> best_rank;
  const base::TimePoint current_time = this->now();
  for (auto& [host, received] : this->capacity_reports) {
    runs::CapacityReport& report = received.report;
    for (runs::CapacityReport::ServiceCapacity& capacity : report.service_capacities) {
      if (!CanTakeTasks(received, capacity, service, current_time)) {
        continue;
      }
      const auto backlog =
          static_cast<double>((capacity.waiting_task_count - capacity.free_task_capacity).value()) /
          static_cast<double>(capacity.total_task_capacity.value());
      if (backlog >= maximum_backlog) {
        continue;
      }
      const auto rank = std::make_tuple(
          current_time - received.received_at < kPreferredReportAge, avoided.count(host) == 0,
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

std::optional<base::Duration> AllocatorSelector::ExpectedWait(const base::ServiceId& service,
                                                              TaskCount count,
                                                              base::Priority priority) {
  base::MutexLock lock(this->mutex);
  std::optional<base::Duration> shortest;
  const base::TimePoint current_time = this->now();
  for (const auto& [host, received] : this->capacity_reports) {
    for (const runs::CapacityReport::ServiceCapacity& capacity :
         received.report.service_capacities) {
      if (!CanTakeTasks(received, capacity, service, current_time)) {
        continue;
      }
      TaskCount tasks_ahead = count - capacity.free_task_capacity;
      for (const runs::WaitingTasks& waiting : capacity.waiting_by_priority) {
        if (waiting.priority <= priority) {
          tasks_ahead += waiting.count;
        }
      }
      const base::Duration wait =
          capacity.mean_end_interval * std::max<int64_t>(0, tasks_ahead.value());
      shortest = std::min(shortest.value_or(wait), wait);
    }
  }
  return shortest;
}

bool AllocatorSelector::HasReports() {
  base::MutexLock lock(this->mutex);
  return !this->capacity_reports.empty();
}

bool AllocatorSelector::HasReportOf(const HostId& allocator) {
  base::MutexLock lock(this->mutex);
  return this->capacity_reports.count(allocator) != 0;
}

}  // namespace sapphirecrank::gateway
