#include "gateway/allocator_selector.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "base/mutex_lock.h"
#include "gateway/backlog.h"
#include "gateway/round_trip_time.h"

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
  const base::TimePoint current_time = this->now();
  ReceivedReport& received = this->capacity_reports[allocator];
  received.report = report;
  received.received_at = current_time;
  while (!received.placements.empty() &&
         current_time - received.placements.front().placed_at >= kRoundTripTime) {
    received.placements.pop_front();
  }
  for (const Placement& placement : received.placements) {
    for (runs::CapacityReport::ServiceCapacity& capacity : received.report.service_capacities) {
      if (capacity.service == placement.service) {
        Backlog::RecordPlacement(capacity, placement.requirements, placement.count);
      }
    }
  }
}

void AllocatorSelector::OnAllocatorLost(const HostId& allocator) {
  base::MutexLock lock(this->mutex);
  this->capacity_reports.erase(allocator);
}

std::optional<AllocatorChoice> AllocatorSelector::ChooseAllocator(const AllocatorRequest& request) {
  return this->ChooseAllocatorBelowBacklog(request, std::nullopt);
}

std::optional<HostId> AllocatorSelector::ChooseAllocatorWithoutFullBacklog(
    const base::ServiceId& service, TaskCount count, const runs::TaskRequirements& requirements,
    const std::set<HostId>& avoided) {
  AllocatorRequest request;
  request.service = service;
  request.count = count;
  request.requirements = requirements;
  for (const HostId& host : avoided) {
    request.avoided.emplace(host, base::TimePoint::min());
  }
  const auto choice = this->ChooseAllocatorBelowBacklog(request, 1.0);
  return choice ? std::make_optional(choice->allocator) : std::nullopt;
}

std::optional<AllocatorChoice> AllocatorSelector::ChooseAllocatorBelowBacklog(
    const AllocatorRequest& request, std::optional<double> maximum_backlog) {
  base::MutexLock lock(this->mutex);
  // Prefers allocators with a recent report, then those that aren't avoided, then those with free
  // capacity for all tasks, then those in this data centre, where traffic costs least.
  using Rank = std::tuple<bool, bool, bool, bool>;
  Rank best_rank;
  std::vector<Option> options;
  const base::TimePoint current_time = this->now();
  for (auto& [host, received] : this->capacity_reports) {
    runs::CapacityReport& report = received.report;
    const auto avoided = request.avoided.find(host);
    const bool is_avoided = avoided != request.avoided.end();
    if (is_avoided && received.received_at <= avoided->second) {
      continue;
    }
    const bool is_recent = current_time - received.received_at < kPreferredReportAge;
    for (runs::CapacityReport::ServiceCapacity& capacity : report.service_capacities) {
      if (!CanTakeTasks(received, capacity, request.service, current_time)) {
        continue;
      }
      const Backlog backlog(capacity, request.requirements);
      const TaskCount excess = backlog.TasksAhead(std::nullopt) - capacity.free_task_capacity;
      const double excess_share = static_cast<double>(excess.value()) /
                                  static_cast<double>(capacity.total_task_capacity.value());
      const bool has_free_capacity = backlog.HasFreeCapacity(request.count);
      if ((maximum_backlog && (excess_share >= *maximum_backlog || backlog.IsFull())) ||
          (request.needs_free_capacity && !(has_free_capacity && is_recent))) {
        continue;
      }
      const Rank rank(is_recent, !is_avoided, has_free_capacity,
                      report.data_centre == this->data_centre);
      if (options.empty() || rank > best_rank) {
        options.clear();
        best_rank = rank;
      }
      if (rank == best_rank) {
        options.push_back({host, &capacity, has_free_capacity, excess, excess_share});
      }
    }
  }
  if (options.empty()) {
    return std::nullopt;
  }
  const Option& chosen = ChooseOption(options, request);
  Backlog::RecordPlacement(*chosen.capacity, request.requirements, request.count);
  this->capacity_reports[chosen.allocator].placements.push_back(
      {request.service, request.count, request.requirements, current_time});
  return AllocatorChoice{chosen.allocator, chosen.has_free_capacity};
}

const AllocatorSelector::Option& AllocatorSelector::ChooseOption(const std::vector<Option>& options,
                                                                 const AllocatorRequest& request) {
  if (!request.random_number) {
    return *std::min_element(options.begin(), options.end(), [](const Option& a, const Option& b) {
      return a.backlog_share < b.backlog_share;
    });
  }
  // All gateways have the same reports. If all of them chose the best allocator, they would fill it
  // many times over until its next report.
  std::vector<double> weights;
  double total = 0;
  for (const Option& option : options) {
    const runs::CapacityReport::ServiceCapacity& capacity = *option.capacity;
    const auto free_count = static_cast<double>(capacity.free_task_capacity.value());
    const auto backlog = static_cast<double>(option.backlog.value());
    const auto size = static_cast<double>(capacity.total_task_capacity.value());
    weights.push_back(option.has_free_capacity ? std::max(1.0, free_count)
                                               : size * size / std::max(1.0, size + backlog));
    total += weights.back();
  }
  double position = *request.random_number * total;
  for (size_t i = 0; i + 1 < options.size(); ++i) {
    position -= weights[i];
    if (position < 0) {
      return options[i];
    }
  }
  return options.back();
}

std::vector<AllocatorCapacity> AllocatorSelector::RecentCapacities() {
  base::MutexLock lock(this->mutex);
  std::vector<AllocatorCapacity> capacities;
  const base::TimePoint current_time = this->now();
  for (const auto& [host, received] : this->capacity_reports) {
    if (current_time - received.received_at >= kPreferredReportAge) {
      continue;
    }
    for (const runs::CapacityReport::ServiceCapacity& capacity :
         received.report.service_capacities) {
      if (CanTakeTasks(received, capacity, capacity.service, current_time)) {
        capacities.push_back({host, received.report.data_centre == this->data_centre,
                              received.report.accepts_recalls, received.received_at, capacity});
      }
    }
  }
  return capacities;
}

std::optional<base::Duration> AllocatorSelector::ExpectedWait(
    const base::ServiceId& service, TaskCount count, const runs::TaskRequirements& requirements,
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
      const TaskCount tasks_ahead = count - capacity.free_task_capacity +
                                    Backlog(capacity, requirements).TasksAhead(priority);
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
