#include "scheduling/target_index.h"

#include <algorithm>

namespace sapphirecrank::scheduling {

using base::Resources;
using base::SlotCount;
using base::TargetId;
using base::TimePoint;
using targets::HealthState;

namespace {
constexpr SlotCount kOneSlot{1};
constexpr double kSlowdownGain = 0.1;
/// Ratios are limited to this factor, as a straggler, which takes 30 times its usual run time,
/// tells nothing about the target.
constexpr double kMaximumSlowdown = 8;
/// Slowdowns that differ by less than this factor are taken as equal; the difference is noise of
/// the run-time estimates.
constexpr double kSlowdownNoiseFactor = 1.5;
constexpr int kReservationCandidates = 8;
}  // namespace

void TargetIndex::Configure(int candidate_count, PlacementPolicy placement_policy,
                            uint64_t random_seed) {
  this->candidate_count = candidate_count;
  this->placement_policy = placement_policy;
  this->random_generator.seed(static_cast<std::minstd_rand::result_type>(random_seed));
}

TargetEntry* TargetIndex::UpdateTarget(const TargetState& state, TimePoint now) {
  std::unique_ptr<TargetEntry>& entry = this->entries[state.id];
  if (entry == nullptr) {
    entry = std::make_unique<TargetEntry>();
    if (this->unused_positions.empty()) {
      entry->position = this->entries_by_position.size();
      this->entries_by_position.push_back(entry.get());
    } else {
      entry->position = this->unused_positions.back();
      this->unused_positions.pop_back();
      this->entries_by_position[entry->position] = entry.get();
    }
    ++this->known_count;
  } else if (entry->is_removed) {
    entry->is_removed = false;
    ++this->known_count;
  }
  entry->state = state;
  this->total_capacities.SetCapacity(entry->position, state.slots, state.capacity);
  this->UpdateTotals(*entry, now);
  return entry.get();
}

void TargetIndex::RemoveTarget(const TargetId& target, TimePoint now) {
  TargetEntry* entry = this->FindTarget(target);
  if (entry == nullptr || entry->is_removed) {
    return;
  }
  entry->is_removed = true;
  --this->known_count;
  this->total_capacities.SetCapacity(entry->position, SlotCount(0), Resources());
  this->UpdateTotals(*entry, now);
  if (entry->used_by_tasks.slots == SlotCount(0) && !entry->reserved) {
    this->DeleteEntry(*entry);
  }
}

TargetEntry* TargetIndex::FindTarget(const TargetId& target) {
  auto found = this->entries.find(target);
  return found == this->entries.end() ? nullptr : found->second.get();
}

void TargetIndex::ApplyAvailabilityChanges(TimePoint now) {
  while (!this->availability_changes.empty() && this->availability_changes.begin()->first <= now) {
    this->UpdateTotals(*this->entries_by_position[this->availability_changes.begin()->second], now);
  }
}

TargetEntry* TargetIndex::ChooseTarget(const Resources& required_resources, TimePoint now) {
  TargetEntry* best = this->ChooseAmongRandomCandidates(required_resources, now);
  while (best == nullptr && !this->available_targets.empty()) {
    const size_t start = this->RandomIndex(this->entries_by_position.size());
    const size_t found = this->free_capacities.FindFit(required_resources, start);
    if (found == CapacitySegmentTree::kNotFound) {
      return nullptr;
    }
    TargetEntry* candidate = this->entries_by_position[found];
    if (IsWithinUsablePeriod(*candidate, now)) {
      return candidate;
    }
    // The clock went back, or the lease ended after the last `ApplyAvailabilityChanges`.
    this->UpdateTotals(*candidate, now);
  }
  return best;
}

bool TargetIndex::CanStartTask(const TargetEntry& target, const Resources& required_resources,
                               TimePoint now) const {
  return IsTargetUsable(target, now) && FreeSlots(target) >= kOneSlot &&
         FreeResources(target).CanFit(required_resources);
}

void TargetIndex::Allocate(TargetEntry& target, const Resources& required_resources,
                           TimePoint now) {
  target.used_by_tasks += Usage{kOneSlot, required_resources};
  this->UpdateTotals(target, now);
}

void TargetIndex::Release(TargetEntry& target, const Resources& required_resources, TimePoint now) {
  target.used_by_tasks -= Usage{kOneSlot, required_resources};
  this->UpdateTotals(target, now);
  if (target.is_removed && target.used_by_tasks.slots == SlotCount(0) && !target.reserved) {
    this->DeleteEntry(target);
  }
}

void TargetIndex::SetHealth(TargetEntry& target, HealthState health, TimePoint now) {
  if (target.health != health) {
    target.health = health;
    this->UpdateTotals(target, now);
  }
}

void TargetIndex::UpdateSlowdown(TargetEntry& target, double ratio) {
  const double sample = std::clamp(ratio, 1 / kMaximumSlowdown, kMaximumSlowdown);
  target.slowdown += kSlowdownGain * (sample - target.slowdown);
}

TargetEntry* TargetIndex::ReserveTarget(const Resources& required_resources,
                                        double maximum_reserved_share, TimePoint now) {
  const double maximum_reserved =
      std::max(1.0, maximum_reserved_share * static_cast<double>(this->known_count));
  if (this->known_count == 0 || maximum_reserved_share <= 0 ||
      static_cast<double>(this->reserved_count) + 1 > maximum_reserved) {
    return nullptr;
  }
  TargetEntry* best = nullptr;
  double smallest_share = 0;
  for (int i = 0; i < kReservationCandidates; ++i) {
    const size_t found = this->total_capacities.FindFit(
        required_resources, this->RandomIndex(this->entries_by_position.size()));
    if (found == CapacitySegmentTree::kNotFound) {
      break;
    }
    TargetEntry* candidate = this->entries_by_position[found];
    if (candidate->reserved || candidate->health != HealthState::kHealthy ||
        !IsTargetUsable(*candidate, now)) {
      continue;
    }
    const double share = ShareWithTask(*candidate, required_resources);
    if (best == nullptr || share < smallest_share) {
      best = candidate;
      smallest_share = share;
    }
  }
  if (best != nullptr) {
    best->reserved = true;
    ++this->reserved_count;
    this->UpdateTotals(*best, now);
  }
  return best;
}

void TargetIndex::CancelReservation(TargetEntry& target, TimePoint now) {
  target.reserved = false;
  --this->reserved_count;
  this->UpdateTotals(target, now);
  if (target.is_removed && target.used_by_tasks.slots == SlotCount(0)) {
    this->DeleteEntry(target);
  }
}

bool TargetIndex::CanEverFit(const Resources& required_resources) const {
  return this->known_count == 0 || this->total_capacities.CanAnyFit(required_resources);
}

void TargetIndex::ForEachTarget(const std::function<void(const TargetEntry&)>& function) const {
  for (const auto& [id, entry] : this->entries) {
    if (!entry->is_removed) {
      function(*entry);
    }
  }
}

bool TargetIndex::IsWithinUsablePeriod(const TargetEntry& target, TimePoint now) {
  return now >= target.state.usable_from && now < target.state.lease_end;
}

bool TargetIndex::IsTargetUsable(const TargetEntry& target, TimePoint now) {
  return !target.is_removed && !target.state.leaving && target.health != HealthState::kEjected &&
         IsWithinUsablePeriod(target, now);
}

SlotCount TargetIndex::FreeSlots(const TargetEntry& target) {
  const SlotCount free =
      target.state.slots - target.state.externally_used_slots - target.used_by_tasks.slots;
  if (target.health == HealthState::kProbation) {
    return std::min(free, kOneSlot - target.used_by_tasks.slots);
  }
  return free;
}

Resources TargetIndex::FreeResources(const TargetEntry& target) {
  Resources free = target.state.capacity;
  free -= target.used_by_tasks.resources;
  return free;
}

void TargetIndex::UpdateTotals(TargetEntry& target, TimePoint now) {
  const bool usable = IsTargetUsable(target, now);
  const SlotCount free =
      usable && !target.reserved ? std::max(SlotCount(0), FreeSlots(target)) : SlotCount(0);
  this->usable_total -= target.counted_total;
  this->usable_in_use -= target.counted_used;
  this->usable_free_slots -= target.counted_free_slots;
  target.counted_total = Usage();
  target.counted_used = Usage();
  if (usable) {
    target.counted_total = Usage{target.state.slots, target.state.capacity};
    target.counted_used = target.used_by_tasks;
    target.counted_used.slots += target.state.externally_used_slots;
  }
  const bool has_more_free_slots = free > target.counted_free_slots;
  target.counted_free_slots = free;
  this->usable_total += target.counted_total;
  this->usable_in_use += target.counted_used;
  this->usable_free_slots += target.counted_free_slots;
  this->free_capacities.SetCapacity(target.position, free, FreeResources(target));
  this->SetAvailable(target, free > SlotCount(0));
  this->ScheduleAvailabilityChange(target, now);
  this->capacity_version += has_more_free_slots || target.reserved ? 1 : 0;
}

void TargetIndex::ScheduleAvailabilityChange(TargetEntry& target, TimePoint now) {
  TimePoint next;
  if (!target.is_removed && now < target.state.usable_from) {
    next = target.state.usable_from;
  } else if (!target.is_removed && now < target.state.lease_end) {
    next = target.state.lease_end;
  }
  if (next == target.next_availability_change) {
    return;
  }
  if (target.next_availability_change != TimePoint()) {
    this->availability_changes.erase({target.next_availability_change, target.position});
  }
  if (next != TimePoint()) {
    this->availability_changes.emplace(next, target.position);
  }
  target.next_availability_change = next;
}

void TargetIndex::SetAvailable(TargetEntry& target, bool is_available) {
  const bool was_available = target.available_position != TargetEntry::kNotAvailable;
  if (was_available == is_available) {
    return;
  }
  if (is_available) {
    target.available_position = this->available_targets.size();
    this->available_targets.push_back(&target);
    return;
  }
  TargetEntry* last = this->available_targets.back();
  this->available_targets[target.available_position] = last;
  last->available_position = target.available_position;
  this->available_targets.pop_back();
  target.available_position = TargetEntry::kNotAvailable;
}

void TargetIndex::DeleteEntry(TargetEntry& target) {
  this->entries_by_position[target.position] = nullptr;
  this->unused_positions.push_back(target.position);
  const TargetId id = target.state.id;
  this->entries.erase(id);
}

double TargetIndex::ShareWithTask(const TargetEntry& target, const Resources& required_resources) {
  Usage usage_with_task = target.used_by_tasks;
  usage_with_task += Usage{kOneSlot, required_resources};
  return usage_with_task.DominantShareOf(Usage{target.state.slots, target.state.capacity});
}

bool TargetIndex::IsBetterTarget(const TargetEntry& a, const TargetEntry& b) const {
  if (this->placement_policy == PlacementPolicy::kLowestSlowdown) {
    if (a.slowdown * kSlowdownNoiseFactor < b.slowdown) {
      return true;
    }
    if (b.slowdown * kSlowdownNoiseFactor < a.slowdown) {
      return false;
    }
  }
  if (this->placement_policy != PlacementPolicy::kLeastLoaded) {
    // Only resources are packed tightly; targets without resources are filled evenly by slots.
    const double share_a = a.used_by_tasks.DominantResourceShareOf(a.state.capacity);
    const double share_b = b.used_by_tasks.DominantResourceShareOf(b.state.capacity);
    if (share_a != share_b) {
      return share_a > share_b;
    }
  }
  return static_cast<int64_t>(a.used_by_tasks.slots.value()) * b.state.slots.value() <
         static_cast<int64_t>(b.used_by_tasks.slots.value()) * a.state.slots.value();
}

TargetEntry* TargetIndex::ChooseAmongRandomCandidates(const Resources& required_resources,
                                                      TimePoint now) {
  TargetEntry* best = nullptr;
  for (int i = 0; i < this->candidate_count && !this->available_targets.empty(); ++i) {
    TargetEntry* candidate =
        this->available_targets[this->RandomIndex(this->available_targets.size())];
    if (!IsWithinUsablePeriod(*candidate, now)) {
      this->UpdateTotals(*candidate, now);
      continue;
    }
    if (candidate == best || !FreeResources(*candidate).CanFit(required_resources)) {
      continue;
    }
    if (best == nullptr || this->IsBetterTarget(*candidate, *best)) {
      best = candidate;
    }
  }
  return best;
}

size_t TargetIndex::RandomIndex(size_t limit) { return this->random_generator() % limit; }

}  // namespace sapphirecrank::scheduling
