#pragma once

#include <vector>

#include "base/ids.h"
#include "cluster/cluster_view.h"
#include "cluster/configuration_record.h"

namespace sapphirecrank::cluster {

/// What an allocator tells the other hosts: the configuration in force, the view, and where the
/// allocators are.
struct ClusterUpdate {
  ConfigurationRecord configuration;
  ClusterView view;
  /// Addresses for links of all allocators that the sender knows.
  std::vector<base::NetworkAddress> allocator_addresses;
};

}  // namespace sapphirecrank::cluster
