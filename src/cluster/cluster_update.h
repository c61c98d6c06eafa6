#pragma once

#include <vector>

#include "base/ids.h"
#include "cluster/cluster_view.h"

namespace sapphirecrank::cluster {

/// Announcement from an allocator to the other hosts: the version of the configuration in force,
/// the view, and the addresses of the allocators.
///
/// The configuration itself is many kilobytes large and is sent on request only, so that a gateway
/// doesn't get a copy of each version from each allocator.
struct ClusterUpdate {
  /// Zero if there is no configuration yet.
  base::Version configuration_version;
  ClusterView view;
  /// Peer addresses of the members of `view`.
  std::vector<base::NetworkAddress> allocator_addresses;
};

}  // namespace sapphirecrank::cluster
