#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "scheduling/capacity_segment_tree.h"
#include "scheduling/placement_policy.h"
#include "scheduling/target_entry.h"
#include "scheduling/usage.h"

namespace sapphirecrank::scheduling {

/// Index of a shard's targets and their free capacity, which chooses a target for a task.
///
/// A target is usable unless it is removed, leaving, ejected, before its `usable_from` or past its
/// lease. A reserved target is not chosen either. Changes and choices take logarithmic time. Thread
/// safety: none; the owner holds its lock.
class TargetIndex {
 public:
  /// Sets how `ChooseTarget` chooses: the best of `candidate_count` randomly drawn targets by
  /// `placement_policy`. `random_seed` seeds the draws.
  void Configure(int candidate_count, PlacementPolicy placement_policy, uint64_t random_seed);

  /// Adds a target, or replaces the state of a known one. Returns its entry.
  TargetEntry* UpdateTarget(const TargetState& state, base::TimePoint now);

  /// Removes a target. Its entry stays valid while it runs tasks or is reserved.
  void RemoveTarget(const base::TargetId& target, base::TimePoint now);

  /// Returns the entry of a target, or null.
  TargetEntry* FindTarget(const base::TargetId& target);

  /// Updates the targets whose `usable_from` or `lease_end` has been reached at `now`.
  void ApplyAvailabilityChanges(base::TimePoint now);

  /// Returns a target that may start a task with `required_resources` at `now` and isn't reserved,
  /// or null if none was found.
  TargetEntry* ChooseTarget(const base::Resources& required_resources, base::TimePoint now);

  /// Tells whether a task with `required_resources` may start on the target at `now`. Reservations
  /// are ignored.
  bool CanStartTask(const TargetEntry& target, const base::Resources& required_resources,
                    base::TimePoint now) const;

  /// Tells whether the target is usable at `now`. Reservations are ignored.
  bool IsUsable(const TargetEntry& target, base::TimePoint now) const {
    return IsTargetUsable(target, now);
  }

  /// Allocates one slot and `required_resources` of the target. Precondition: `CanStartTask`.
  void Allocate(TargetEntry& target, const base::Resources& required_resources,
                base::TimePoint now);

  /// Releases what `Allocate` allocated. The entry of a removed target is deleted with its last
  /// task, unless it is reserved.
  void Release(TargetEntry& target, const base::Resources& required_resources, base::TimePoint now);

  /// Sets the health of a target. An ejected target isn't usable; one on probation runs one task at
  /// a time.
  void SetHealth(TargetEntry& target, targets::HealthState health, base::TimePoint now);

  /// Adds a sample to the target's slowdown: a task's run time divided by its expected run time.
  void UpdateSlowdown(TargetEntry& target, double ratio);

  /// Reserves a healthy, usable target that could fit `required_resources` when it is empty, and
  /// returns it. Returns null if none was found or if more than `maximum_reserved_share` of the
  /// targets would be reserved; a share above zero always allows one reservation.
  TargetEntry* ReserveTarget(const base::Resources& required_resources,
                             double maximum_reserved_share, base::TimePoint now);

  /// Ends a reservation made by `ReserveTarget`. The entry of a removed target is deleted if it
  /// runs no task.
  void CancelReservation(TargetEntry& target, base::TimePoint now);

  /// Tells whether any known target could fit `required_resources` when it is empty. Returns true
  /// if no target is known.
  bool CanEverFit(const base::Resources& required_resources) const;

  /// Returns the largest processors, memory and accelerators of any known target. Each maximum is
  /// taken separately.
  base::Resources LargestCapacity() const { return this->total_capacities.LargestCapacity(); }

  /// Returns the sum of the slots and resources of all usable targets, in use or not.
  const Usage& usable_capacity() const { return this->usable_total; }

  /// Returns the sum of the slots and resources in use on usable targets. Resources in use by work
  /// that this scheduler didn't start are unknown and left out.
  const Usage& usage_on_usable_targets() const { return this->usable_in_use; }

  /// Returns the number of free slots on usable targets that aren't reserved.
  base::SlotCount free_slots() const { return this->usable_free_slots; }

  /// Returns a number that changes whenever free capacity may have appeared.
  uint64_t free_capacity_version() const { return this->capacity_version; }

  /// Calls `function` for each known target.
  void ForEachTarget(const std::function<void(const TargetEntry&)>& function) const;

 private:
  static bool IsWithinUsablePeriod(const TargetEntry& target, base::TimePoint now);
  static bool IsTargetUsable(const TargetEntry& target, base::TimePoint now);
  static base::SlotCount FreeSlots(const TargetEntry& target);
  static base::Resources FreeResources(const TargetEntry& target);
  void UpdateTotals(TargetEntry& target, base::TimePoint now);
  void ScheduleAvailabilityChange(TargetEntry& target, base::TimePoint now);
  void SetAvailable(TargetEntry& target, bool is_available);
  void DeleteEntry(TargetEntry& target);
  static double ShareWithTask(const TargetEntry& target, const base::Resources& required_resources);
  bool IsBetterTarget(const TargetEntry& a, const TargetEntry& b) const;
  TargetEntry* ChooseAmongRandomCandidates(const base::Resources& required_resources,
                                           base::TimePoint now);
  size_t RandomIndex(size_t limit);

  int candidate_count = 2;
  PlacementPolicy placement_policy = PlacementPolicy::kLeastLoaded;
  std::minstd_rand random_generator;
  std::unordered_map<base::TargetId, std::unique_ptr<TargetEntry>> entries;
  std::vector<TargetEntry*> entries_by_position;
  std::vector<size_t> unused_positions;
  std::vector<TargetEntry*> available_targets;
  std::set<std::pair<base::TimePoint, size_t>> availability_changes;
  CapacitySegmentTree free_capacities;
  CapacitySegmentTree total_capacities;
  Usage usable_total;
  Usage usable_in_use;
  base::SlotCount usable_free_slots;
  size_t known_count = 0;
  size_t reserved_count = 0;
  uint64_t capacity_version = 1;
};

}  // namespace sapphirecrank::scheduling
