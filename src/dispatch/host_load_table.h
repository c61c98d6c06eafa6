#pragma once

#include <map>
#include <vector>

#include "base/ids.h"
#include "base/mutex.h"
#include "base/target_kind.h"
#include "dispatch/host_load.h"

namespace sapphirecrank::dispatch {

/// Last known loads of the other entry hosts.
///
/// Thread safety: all methods may be called from any thread.
class HostLoadTable {
 public:
  /// Replaces the loads of a host. A host that is leaving is removed, because it gets no new work.
  void UpdateHost(const base::HostId& host, bool is_leaving,
                  const std::map<base::TargetKind, scheduling::LoadSummary>& loads_by_kind);

  /// Removes a host that was lost.
  void RemoveHost(const base::HostId& host);

  /// Returns the loads of the hosts that may get work for one kind of targets, ordered by host id.
  std::vector<HostLoad> LoadsOfKind(base::TargetKind kind);

 private:
  base::Mutex mutex;
  std::map<base::HostId, std::map<base::TargetKind, scheduling::LoadSummary>> loads_by_host
      GUARDED_BY(mutex);
};

}  // namespace sapphirecrank::dispatch
