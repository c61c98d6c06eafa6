#include "dispatch/host_load_table.h"

#include "base/mutex_lock.h"

namespace sapphirecrank::dispatch {

void HostLoadTable::UpdateHost(const base::HostId& host, bool leaving,
                               const std::map<base::TargetKind, scheduling::LoadSummary>& loads) {
  base::MutexLock lock(this->mutex);
  if (leaving) {
    this->loads_by_host.erase(host);
    return;
  }
  this->loads_by_host[host] = loads;
}

void HostLoadTable::RemoveHost(const base::HostId& host) {
  base::MutexLock lock(this->mutex);
  this->loads_by_host.erase(host);
}

std::vector<HostLoad> HostLoadTable::LoadsOfKind(base::TargetKind kind) {
  base::MutexLock lock(this->mutex);
  std::vector<HostLoad> loads;
  for (const auto& [host, kinds] : this->loads_by_host) {
    auto found = kinds.find(kind);
    if (found != kinds.end()) {
      loads.push_back({host, found->second});
    }
  }
  return loads;
}

}  // namespace sapphirecrank::dispatch
