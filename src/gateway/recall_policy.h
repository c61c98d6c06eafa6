#pragma once

#include <functional>
#include <map>
#include <utility>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "gateway/allocator_capacity.h"
#include "gateway/recall_candidate.h"

namespace sapphirecrank::gateway {

/// Decides which waiting batches a gateway recalls from their allocators, because another allocator
/// has reported free capacity.
///
/// All gateways see the same reports. So that together they recall no more tasks than fit, each one
/// claims of the free capacity the part that its own waiting tasks are of all waiting tasks, once
/// for each report. If more tasks wait than fit, half of the capacity is left to new jobs. A part
/// that is smaller than the next batch is claimed for that batch with the probability that makes
/// the expected claim equal to the part. Thread safety: none.
class RecallPolicy {
 public:
  /// `random_unit` returns a random number, at least 0 and less than 1.
  explicit RecallPolicy(std::function<double()> random_unit);

  /// Returns whether any allocator has free capacity and another one waiting tasks of the same
  /// service. Without it, `ChooseRecalls` chooses nothing.
  static bool HasUnevenLoad(const std::vector<AllocatorCapacity>& capacities);

  /// Chooses the batches to recall, those of the highest priority and then the oldest first.
  /// `batches` are the open batches of this gateway, `capacities` all recent reports.
  std::vector<RecallCandidate> ChooseRecalls(std::vector<RecallCandidate> batches,
                                             const std::vector<AllocatorCapacity>& capacities,
                                             base::TimePoint now);

 private:
  using CapacityKey = std::pair<base::HostId, base::ServiceId>;

  std::vector<RecallCandidate> ChooseRecallsOfService(
      const base::ServiceId& service, const std::vector<RecallCandidate>& batches,
      const std::vector<AllocatorCapacity>& capacities, base::TimePoint now);

  std::function<double()> random_unit;
  /// The last report of each allocator's free capacity of which this gateway has claimed its part.
  std::map<CapacityKey, base::TimePoint> claimed_reports;
};

}  // namespace sapphirecrank::gateway
