#include "dispatch/host_load_table.h"

#include "base/mutex_lock.h"

namespace sapphirecrank::dispatch {

void HostLoadTable::UpdateHost(
    const base::HostId& host, bool is_leaving,
    const std::map<base::TargetKind, scheduling::LoadSummary>& loads_by_kind) {
  base::MutexLock lock(this->mutex);
  if (is_leaving) {
    this->loads_by_host.erase(host);
    return;
  }
  this->loads_by_host[host] = loads_by_kind;
}

void HostLoadTable::RemoveHost(const base::HostId& host) {
  base::MutexLock lock(this->mutex);
  this->loads_by_host.erase(host);
}

std::vector<HostLoad> HostLoadTable::LoadsOfKind(base::TargetKind kind) {
  base::MutexLock lock(this->mutex);
  std::vector<HostLoad> loads;
  for (const auto& [host, loads_by_kind] : this->loads_by_host) {
    auto found = loads_by_kind.find(kind);
    if (found != loads_by_kind.end()) {
      loads.push_back({host, found->second});
    }
  }
  return loads;
}

}  // namespace sapphirecrank::dispatch
