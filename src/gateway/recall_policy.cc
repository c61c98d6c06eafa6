#include "gateway/recall_policy.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <set>
#include <tuple>

#include "gateway/round_trip_time.h"

namespace sapphirecrank::gateway {

using base::Duration;
using base::HostId;
using base::ServiceId;
using base::TaskCount;
using base::TimePoint;

namespace {

// Time from the recall of a batch until it is at its next allocator: three messages between hosts,
// each of which takes up to 2 ms and is handled within a few more. A batch that is expected to
// start sooner where it is gains nothing.
constexpr Duration kMoveTime = std::chrono::milliseconds(10);
// The same between data centres, where messages take longer and share the links with others.
constexpr Duration kFarMoveTime = std::chrono::milliseconds(20);
// A batch that was placed with free capacity may have lost it to batches of other gateways. The
// first report after its placement, which is there after this time at the latest, shows whether
// tasks wait. Later reports say nothing about the batch, as it may have started meanwhile.
constexpr Duration kFirstReportTimeout = std::chrono::milliseconds(150);
// A recall without an answer within this time was answered with nothing: no task waits.
constexpr Duration kAnswerTimeout = std::chrono::milliseconds(100);
// An unanswered recall shows that all tasks have been started. A second one is for tasks that wait
// again because their run was lost.
constexpr int kMaximumRecalls = 2;
// If more tasks wait than fit, new jobs come as well, which all gateways place in the reported
// capacity until the next report. The rest is left to them.
constexpr double kClaimedShareUnderOverload = 0.5;
// With each placement a batch gets behind those that already wait there.
constexpr int kMaximumPlacements = 4;

/// Free capacity at one allocator that waiting batches could use.
struct FreeCapacity {
  HostId allocator;
  bool is_near = false;
  TaskCount count;
  TimePoint reported_at;
};

bool HasFreeCapacity(const AllocatorCapacity& known) {
  return known.capacity.free_task_capacity > TaskCount(0) &&
         known.capacity.waiting_task_count == TaskCount(0);
}

bool IsRecallPending(const RecallCandidate& batch, TimePoint now) {
  return batch.recalled_at && now - *batch.recalled_at < kAnswerTimeout;
}

/// Returns whether tasks of the batch probably wait at the allocator with this capacity and may be
/// recalled. A batch whose wait limit has passed has been started at least in part.
bool MayBeRecalled(const RecallCandidate& batch, const AllocatorCapacity& known, TimePoint now) {
  if (IsRecallPending(batch, now) || now > batch.may_wait_until ||
      batch.recall_count >= kMaximumRecalls || batch.placement_count >= kMaximumPlacements) {
    return false;
  }
  if (!batch.had_free_capacity) {
    return now - batch.placed_at >= kMoveTime;
  }
  const Duration report_delay = known.reported_at - batch.placed_at;
  return report_delay >= kRoundTripTime && report_delay <= kFirstReportTimeout;
}

/// Returns whether a waiting batch is expected to wait for longer than `limit` from now. Tasks
/// start in the order of their arrival, so that a batch that has waited for as long as the last
/// task will have to has probably started. True if the rate at which capacity comes free is
/// unknown.
bool IsWaitLonger(const RecallCandidate& batch, const AllocatorCapacity& known, Duration limit,
                  TimePoint now) {
  TaskCount tasks_ahead;
  for (const runs::WaitingTasks& waiting : known.capacity.waiting_by_priority) {
    if (waiting.priority <= batch.priority) {
      tasks_ahead += waiting.count;
    }
  }
  const Duration expected_wait = known.capacity.mean_end_interval * tasks_ahead.value();
  return known.capacity.mean_end_interval == Duration(0) ||
         expected_wait - (now - batch.placed_at) > limit;
}

}  // namespace

RecallPolicy::RecallPolicy(std::function<double()> random_unit)
    : random_unit(std::move(random_unit)) {}

bool RecallPolicy::HasUnevenLoad(const std::vector<AllocatorCapacity>& capacities) {
  std::set<ServiceId> waiting_services;
  for (const AllocatorCapacity& known : capacities) {
    if (known.accepts_recalls && known.capacity.waiting_task_count > TaskCount(0)) {
      waiting_services.insert(known.capacity.service);
    }
  }
  return std::any_of(
      capacities.begin(), capacities.end(), [&waiting_services](const AllocatorCapacity& known) {
        return HasFreeCapacity(known) && waiting_services.count(known.capacity.service) > 0;
      });
}

std::vector<RecallCandidate> RecallPolicy::ChooseRecalls(
    std::vector<RecallCandidate> batches, const std::vector<AllocatorCapacity>& capacities,
    TimePoint now) {
  std::sort(batches.begin(), batches.end(), [](const RecallCandidate& a, const RecallCandidate& b) {
    return std::tie(a.service, a.priority, a.placed_at, a.job, a.batch) <
           std::tie(b.service, b.priority, b.placed_at, b.job, b.batch);
  });
  std::vector<RecallCandidate> recalls;
  for (auto begin = batches.begin(); begin != batches.end();) {
    const ServiceId service = begin->service;
    const auto end = std::find_if(begin, batches.end(), [&service](const RecallCandidate& batch) {
      return batch.service != service;
    });
    std::vector<RecallCandidate> recalls_of_service =
        this->ChooseRecallsOfService(service, {begin, end}, capacities, now);
    recalls.insert(recalls.end(), recalls_of_service.begin(), recalls_of_service.end());
    begin = end;
  }
  std::set<CapacityKey> reported;
  for (const AllocatorCapacity& known : capacities) {
    reported.emplace(known.allocator, known.capacity.service);
  }
  for (auto claimed = this->claimed_reports.begin(); claimed != this->claimed_reports.end();) {
    claimed = reported.count(claimed->first) == 0 ? this->claimed_reports.erase(claimed)
                                                  : std::next(claimed);
  }
  return recalls;
}

std::vector<RecallCandidate> RecallPolicy::ChooseRecallsOfService(
    const ServiceId& service, const std::vector<RecallCandidate>& batches,
    const std::vector<AllocatorCapacity>& capacities, TimePoint now) {
  std::map<HostId, const AllocatorCapacity*> loaded_allocators;
  // How many tasks may still be recalled from each allocator.
  std::map<HostId, TaskCount> waiting_counts;
  std::vector<FreeCapacity> free_capacities;
  TaskCount waiting_count;
  for (const AllocatorCapacity& known : capacities) {
    if (known.capacity.service != service) {
      continue;
    }
    waiting_count += known.capacity.waiting_task_count;
    if (known.accepts_recalls && known.capacity.waiting_task_count > TaskCount(0)) {
      loaded_allocators[known.allocator] = &known;
      waiting_counts[known.allocator] = known.capacity.waiting_task_count;
    }
    const auto claimed = this->claimed_reports.find({known.allocator, service});
    if (HasFreeCapacity(known) &&
        (claimed == this->claimed_reports.end() || claimed->second < known.reported_at)) {
      free_capacities.push_back(
          {known.allocator, known.is_near, known.capacity.free_task_capacity, known.reported_at});
    }
  }
  std::vector<const RecallCandidate*> candidates;
  std::map<HostId, TaskCount> own_counts;
  TaskCount pending_count;
  for (const RecallCandidate& batch : batches) {
    if (IsRecallPending(batch, now)) {
      pending_count += batch.task_count;
    }
    const auto loaded = loaded_allocators.find(batch.allocator);
    if (loaded != loaded_allocators.end() && MayBeRecalled(batch, *loaded->second, now) &&
        IsWaitLonger(batch, *loaded->second, kMoveTime, now)) {
      candidates.push_back(&batch);
      own_counts[batch.allocator] += batch.task_count;
    }
  }
  if (candidates.empty() || free_capacities.empty()) {
    return {};
  }
  std::stable_sort(free_capacities.begin(), free_capacities.end(),
                   [](const FreeCapacity& a, const FreeCapacity& b) {
                     return std::make_tuple(!a.is_near, -a.count.value()) <
                            std::make_tuple(!b.is_near, -b.count.value());
                   });
  TaskCount free_count = TaskCount(0) - pending_count;
  for (const FreeCapacity& free_capacity : free_capacities) {
    free_count += free_capacity.count;
    this->claimed_reports[{free_capacity.allocator, service}] = free_capacity.reported_at;
  }
  TaskCount own_count;
  for (const auto& [allocator, count] : own_counts) {
    own_count += std::min(count, waiting_counts[allocator]);
  }
  const double claimed_share = waiting_count > free_count ? kClaimedShareUnderOverload : 1.0;
  double claim = claimed_share * static_cast<double>(free_count.value()) *
                 static_cast<double>(own_count.value()) /
                 static_cast<double>(waiting_count.value());
  std::vector<RecallCandidate> recalls;
  for (const RecallCandidate* batch : candidates) {
    if (claim <= 0) {
      break;
    }
    const bool may_go_far =
        IsWaitLonger(*batch, *loaded_allocators[batch->allocator], kFarMoveTime, now);
    const auto free_capacity =
        std::find_if(free_capacities.begin(), free_capacities.end(), [&](const FreeCapacity& free) {
          return free.count >= batch->task_count && (free.is_near || may_go_far);
        });
    TaskCount& left_to_recall = waiting_counts[batch->allocator];
    if (free_capacity == free_capacities.end() || left_to_recall <= TaskCount(0)) {
      continue;
    }
    const auto count = static_cast<double>(batch->task_count.value());
    const bool is_recalled = claim >= count || this->random_unit() * count < claim;
    claim -= count;
    if (is_recalled) {
      free_capacity->count -= batch->task_count;
      left_to_recall -= batch->task_count;
      recalls.push_back(*batch);
    }
  }
  return recalls;
}

}  // namespace sapphirecrank::gateway
