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

/// The targets of a shard, what is free on them, and the choice of a target for a task.
///
/// A target is usable unless it is leaving, not yet usable, past its lease, ejected, removed or
/// held for a large task. Changes and choices cost logarithmic time. Thread safety: none; the owner
/// holds its lock.
class TargetIndex {
 public:
  /// Sets the rule of `Choose`: the best of `candidate_count` random targets by `rule`.
  void Configure(int choices, PlacementPolicy rule, uint64_t seed);

  /// Adds a target or renews what is known of it.
  TargetEntry* UpdateTarget(const TargetState& state, base::TimePoint now);

  /// Forgets a target. Its entry stays valid until its last task was released.
  void RemoveTarget(const base::TargetId& target, base::TimePoint now);

  /// Returns the entry of a target, or null.
  TargetEntry* FindTarget(const base::TargetId& target);

  /// Opens and closes the targets whose usable time or lease end has passed.
  void ApplyAvailabilityChanges(base::TimePoint now);

  /// Returns a usable target with room for `required_resources` at `now`, or null if none was
  /// found.
  TargetEntry* ChooseTarget(const base::Resources& need, base::TimePoint now);

  /// Tells whether a task with `required_resources` may start on the target at `now`. Ignores that
  /// it is held.
  bool CanStartTask(const TargetEntry& target, const base::Resources& need,
                    base::TimePoint now) const;

  /// Tells whether the target may get work at `now` at all. Ignores that it is held.
  bool IsUsable(const TargetEntry& target, base::TimePoint now) const {
    return IsTargetUsable(target, now);
  }

  /// Takes one slot and `required_resources`. Precondition: `CanStartTask`.
  void Allocate(TargetEntry& target, const base::Resources& need, base::TimePoint now);

  /// Gives back what `Take` took. The entry is deleted if it was removed and runs nothing more.
  void Release(TargetEntry& target, const base::Resources& need, base::TimePoint now);

  /// Sets the health of a target, which decides how many of its slots may be used.
  void SetHealth(TargetEntry& target, targets::HealthState health, base::TimePoint now);

  /// Learns from the ratio of a task's run time to its expected run time.
  void UpdateSlowdown(TargetEntry& target, double ratio);

  /// Keeps one usable target that could hold `required_resources` free of other work and returns
  /// it, or returns null if there is none or `largest_share` of the targets are held already.
  TargetEntry* ReserveTarget(const base::Resources& need, double largest_share,
                             base::TimePoint now);

  /// Ends `ReserveTarget`.
  void CancelReservation(TargetEntry& target, base::TimePoint now);

  /// Tells whether any known target could hold `required_resources` when it is empty. True if no
  /// target is known.
  bool CanEverFit(const base::Resources& need) const;

  /// Returns the largest processors, memory and accelerators of known targets, each by itself.
  base::Resources LargestCapacity() const { return this->total_capacities.LargestCapacity(); }

  /// Returns the slots and resources of all usable targets.
  const Usage& usable_capacity() const { return this->usable_total; }

  /// Returns what is in use on usable targets.
  const Usage& usage_on_usable_targets() const { return this->usable_in_use; }

  /// Returns the slots that are free on usable targets.
  base::SlotCount free_slots() const { return this->usable_free_slots; }

  /// Returns a number that changes whenever room may have appeared.
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
  void SetAvailable(TargetEntry& target, bool open);
  void DeleteEntry(TargetEntry& target);
  static double ShareWithTask(const TargetEntry& target, const base::Resources& need);
  bool IsBetterTarget(const TargetEntry& a, const TargetEntry& b) const;
  TargetEntry* ChooseAmongRandomCandidates(const base::Resources& need, base::TimePoint now);
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
