#pragma once

#include <map>
#include <vector>

#include "base/ids.h"
#include "base/mutex.h"
#include "base/target_kind.h"
#include "dispatch/host_load.h"

namespace sapphirecrank::dispatch {

/// Last known load of the other entry hosts.
///
/// Thread safety: all methods may be called from any thread.
class HostLoadTable {
 public:
  /// Takes in what a host said of itself. A host that is leaving gets no new work.
  void UpdateHost(const base::HostId& host, bool leaving,
                  const std::map<base::TargetKind, scheduling::LoadSummary>& loads);

  /// Forgets a host that was lost.
  void RemoveHost(const base::HostId& host);

  /// Returns the loads of the hosts that may get work for one kind of targets.
  std::vector<HostLoad> LoadsOfKind(base::TargetKind kind);

 private:
  base::Mutex mutex;
  std::map<base::HostId, std::map<base::TargetKind, scheduling::LoadSummary>> loads_by_host
      GUARDED_BY(mutex);
};

}  // namespace sapphirecrank::dispatch
