#include "dispatch/host_selector.h"

#include <utility>

namespace sapphirecrank::dispatch {

using base::SlotCount;
using base::TaskCount;
using scheduling::LoadSummary;

namespace {

bool CouldFit(const LoadSummary& load, const base::Resources& required_resources) {
  return load.total_slots > SlotCount(0) &&
         required_resources.processors <= load.largest_processors &&
         required_resources.memory <= load.largest_memory &&
         required_resources.accelerators <= load.largest_accelerators;
}

bool IsBetterHost(const LoadSummary& a, const LoadSummary& b) {
  const bool has_free_slots = a.free_slots > SlotCount(0) || b.free_slots > SlotCount(0);
  if (has_free_slots) {
    return a.free_slots > b.free_slots;
  }
  return a.queued_tasks.value() * b.total_slots.value() <
         b.queued_tasks.value() * a.total_slots.value();
}

}  // namespace

HostSelector::HostSelector(std::vector<HostLoad> host_loads) : host_loads(std::move(host_loads)) {}

base::HostId HostSelector::SelectHost(const base::Resources& required_resources) {
  HostLoad* best = nullptr;
  for (HostLoad& candidate : this->host_loads) {
    if (!CouldFit(candidate.load, required_resources)) {
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
