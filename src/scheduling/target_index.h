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
#include "scheduling/fit_tree.h"
#include "scheduling/placement_rule.h"
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
  /// Sets the rule of `Choose`: the best of `choices` random targets by `rule`.
  void Configure(int choices, PlacementPolicy rule, uint64_t seed);

  /// Adds a target or renews what is known of it.
  TargetEntry* Update(const TargetState& state, base::TimePoint now);

  /// Forgets a target. Its entry stays valid until its last task was released.
  void Remove(const base::TargetId& target, base::TimePoint now);

  /// Returns the entry of a target, or null.
  TargetEntry* Find(const base::TargetId& target);

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
    return Usable(target, now);
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
  base::Resources LargestCapacity() const { return this->whole_room.LargestCapacity(); }

  /// Returns the slots and resources of all usable targets.
  const Usage& usable_capacity() const { return this->usable_total; }

  /// Returns what is in use on usable targets.
  const Usage& usage_on_usable_targets() const { return this->usable_used; }

  /// Returns the slots that are free on usable targets.
  base::SlotCount free_slots() const { return this->usable_free; }

  /// Returns a number that changes whenever room may have appeared.
  uint64_t free_capacity_version() const { return this->version; }

  /// Calls `function` for each known target.
  void ForEach(const std::function<void(const TargetEntry&)>& function) const;

 private:
  static bool InTime(const TargetEntry& target, base::TimePoint now);
  static bool Usable(const TargetEntry& target, base::TimePoint now);
  static base::SlotCount FreeSlots(const TargetEntry& target);
  static base::Resources FreeResources(const TargetEntry& target);
  void Refresh(TargetEntry& target, base::TimePoint now);
  void Schedule(TargetEntry& target, base::TimePoint now);
  void SetOpen(TargetEntry& target, bool open);
  void Delete(TargetEntry& target);
  static double Deficit(const TargetEntry& target, const base::Resources& need);
  bool Better(const TargetEntry& a, const TargetEntry& b) const;
  TargetEntry* ChooseAtRandom(const base::Resources& need, base::TimePoint now);
  size_t RandomBelow(size_t limit);

  int choices = 2;
  PlacementPolicy rule = PlacementPolicy::kLeastLoaded;
  std::minstd_rand random;
  std::unordered_map<base::TargetId, std::unique_ptr<TargetEntry>> entries;
  std::vector<TargetEntry*> by_position;
  std::vector<size_t> unused_positions;
  std::vector<TargetEntry*> open;
  std::set<std::pair<base::TimePoint, size_t>> changes;
  CapacitySegmentTree free_room;
  CapacitySegmentTree whole_room;
  Usage usable_total;
  Usage usable_used;
  base::SlotCount usable_free;
  size_t known = 0;
  size_t held = 0;
  uint64_t version = 1;
};

}  // namespace sapphirecrank::scheduling
