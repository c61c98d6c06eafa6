#pragma once

#include <vector>

#include "base/ids.h"
#include "base/resources.h"
#include "dispatch/host_load.h"

namespace sapphirecrank::dispatch {

/// Selects an entry host for each task of a batch, by the free slots and the queues of the hosts.
///
/// Works on a copy of the loads and adds each selected task to it, so that the tasks of a batch are
/// spread over the hosts. Thread safety: none; each object is used by one thread at a time.
class HostSelector {
 public:
  /// `host_loads` holds the hosts that may be selected. The first one wins a tie, so the own host
  /// should come first.
  explicit HostSelector(std::vector<HostLoad> host_loads);

  /// Returns a host whose largest target resources suffice for `required_resources`: the one with
  /// the most free slots or, if no slot is free, the one with the fewest queued tasks per slot.
  /// Each resource is compared separately, so the host may still have no target that could hold
  /// them all. Returns an empty id if there is no such host.
  base::HostId SelectHost(const base::Resources& required_resources);

 private:
  std::vector<HostLoad> host_loads;
};

}  // namespace sapphirecrank::dispatch
