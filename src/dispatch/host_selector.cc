#include "dispatch/host_selector.h"

#include <utility>

namespace sapphirecrank::dispatch {

using base::SlotCount;
using base::TaskCount;
using scheduling::LoadSummary;

namespace {

bool CouldFit(const LoadSummary& load, const base::Resources& need) {
  return load.total_slots > SlotCount(0) && need.processors <= load.largest_processors &&
         need.memory <= load.largest_memory && need.accelerators <= load.largest_accelerators;
}

bool IsBetterHost(const LoadSummary& a, const LoadSummary& b) {
  const bool any_free = a.free_slots > SlotCount(0) || b.free_slots > SlotCount(0);
  if (any_free) {
    return a.free_slots > b.free_slots;
  }
  return a.queued_tasks.value() * b.total_slots.value() <
         b.queued_tasks.value() * a.total_slots.value();
}

}  // namespace

HostSelector::HostSelector(std::vector<HostLoad> loads) : host_loads(std::move(loads)) {}

base::HostId HostSelector::SelectHost(const base::Resources& need) {
  HostLoad* best = nullptr;
  for (HostLoad& candidate : this->host_loads) {
    if (!CouldFit(candidate.load, need)) {
      continue;
    }
    if (best == nullptr || IsBetterHost(candidate.load, best->load)) {
      best = &candidate;
    }
  }
  if (best == nullptr) {
    return base::HostId();
  }
  if (best->load.free_slots > SlotCount(0)) {
    best->load.free_slots -= SlotCount(1);
  } else {
    best->load.queued_tasks += TaskCount(1);
  }
  return best->host;
}

}  // namespace sapphirecrank::dispatch
