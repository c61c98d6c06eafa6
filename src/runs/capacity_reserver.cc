#include "runs/capacity_reserver.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "base/resources.h"

namespace sapphirecrank::runs {

using base::Duration;
using base::Resources;
using base::TimePoint;
using std::chrono::milliseconds;

namespace {

// Bounds the time for which capacity stays idle for a batch whose targets don't become free. Most
// tasks take less; a job may have nothing running for 3 s while there is capacity for it.
constexpr Duration kMaximumReservationTime = milliseconds(1000);
// Time between two reservations for the same batch, in which other tasks can use the capacity.
constexpr Duration kReservationPause = milliseconds(500);
// Targets with at most half of the usable capacity are reserved, so that half of it is in use
// whenever a waiting task fits on reserved targets only.
constexpr int kReservedCapacityDivisor = 2;
// Stragglers take up to this multiple of their expected run time. A run that takes longer may last
// for any time.
constexpr int kStragglerFactor = 30;

/// Returns the capacity of a target without that of runs that may last long.
Resources CapacityFreedSoon(const LeasedTarget& target,
                            const std::map<BatchKey, PlacedBatch>& batches, TimePoint now) {
  Resources capacity = target.report.capacity;
  for (const auto& [key, run] : target.runs) {
    auto found = batches.find(run.batch);
    if (run.phase == TargetRun::Phase::kStopping || found == batches.end()) {
      continue;
    }
    const Duration longest_run_time =
        std::max(kMaximumReservationTime, kStragglerFactor * found->second.batch.expected_run_time);
    if (now - run.start_requested_at >= longest_run_time) {
      capacity -= run.required_resources;
    }
  }
  return capacity;
}

}  // namespace

bool CapacityReserver::IsReservedForEarlierBatch(const base::TargetId& target,
                                                 const QueuePosition& position) const {
  if (!this->current || !(this->current->position < position)) {
    return false;
  }
  return this->current->targets.count(target) > 0;
}

bool CapacityReserver::IsReservedFor(const BatchKey& batch) const {
  return this->current && this->current->batch == batch;
}

bool CapacityReserver::MayReserveFor(const PlacedBatch& placed, TimePoint now) const {
  return now >= placed.next_reservation_at &&
         (!this->current || placed.Position() < this->current->position);
}

void CapacityReserver::Reserve(const PlacedBatch& placed,
                               const std::vector<const LeasedTarget*>& usable_targets,
                               const std::map<BatchKey, PlacedBatch>& batches, TimePoint now) {
  const Resources& required = placed.batch.tasks.front().required_resources;
  base::MilliCores usable_processors;
  std::vector<const LeasedTarget*> candidates;
  for (const LeasedTarget* target : usable_targets) {
    usable_processors += target->report.capacity.processors;
    if (CapacityFreedSoon(*target, batches, now).CanFit(required)) {
      candidates.push_back(target);
    }
  }
  if (candidates.empty()) {
    return;  // Waits for a target that isn't there, and keeps no capacity from others.
  }
  std::stable_sort(candidates.begin(), candidates.end(),
                   [](const LeasedTarget* a, const LeasedTarget* b) {
                     return a->FreeResources().processors > b->FreeResources().processors;
                   });
  CapacityReservation reserved{
      placed.batch.key, placed.Position(), {}, now + kMaximumReservationTime};
  base::MilliCores reserved_processors;
  for (const LeasedTarget* target : candidates) {
    reserved_processors += target->report.capacity.processors;
    const bool exceeds_share =
        reserved_processors.value() * kReservedCapacityDivisor > usable_processors.value();
    if (reserved.targets.size() >= placed.waiting_tasks.size() ||
        (exceeds_share && !reserved.targets.empty())) {
      break;
    }
    reserved.targets.insert(target->report.id);
  }
  this->current = std::move(reserved);
}

size_t CapacityReserver::EndIfOverdue(PlacedBatch& placed, TimePoint now) {
  if (now < this->current->ends_at) {
    return 0;
  }
  placed.next_reservation_at = now + kReservationPause;
  const size_t target_count = this->current->targets.size();
  this->End();
  return target_count;
}

}  // namespace sapphirecrank::runs
