#pragma once

#include <vector>

#include "base/ids.h"
#include "base/resources.h"
#include "dispatch/host_load.h"

namespace sapphirecrank::dispatch {

/// Chooses the entry host for each task of a batch in proportion to free slots.
///
/// Works on a copy of the loads and counts down what it gives away, so that one batch spreads.
/// Thread safety: one object for one thread.
class HostSelector {
 public:
  /// `loads` holds the hosts that may be chosen; the first wins a tie, so put the own host there.
  explicit HostSelector(std::vector<HostLoad> loads);

  /// Returns the host with the most free slots, or with the shortest queue for its slots if none is
  /// free, among those with a target that could hold `required_resources`; an empty id if there is
  /// none.
  base::HostId SelectHost(const base::Resources& need);

 private:
  std::vector<HostLoad> host_loads;
};

}  // namespace sapphirecrank::dispatch
