#pragma once

#include <vector>

#include "base/ids.h"
#include "cluster/cluster_view.h"
#include "cluster/configuration_record.h"

namespace sapphirecrank::cluster {

/// Update from an allocator to the other hosts: the configuration in force, the view, and the
/// addresses of the allocators.
struct ClusterUpdate {
  ConfigurationRecord configuration;
  ClusterView view;
  /// Peer addresses of the members of `view`.
  std::vector<base::NetworkAddress> allocator_addresses;
};

}  // namespace sapphirecrank::cluster
