#pragma once

#include "clusterhost/cluster_host_settings.h"
#include "peers/peer_network_settings.h"

namespace sapphirecrank::clusterhost {

/// Returns the settings of the links of a cluster's host. Thread safety: pure.
peers::PeerNetworkSettings MakePeerNetworkSettings(const ClusterHostSettings& settings);

/// Returns a cluster's host by its address for links, which is its name. Thread safety: pure.
peers::PeerAddress MakePeerAddress(const base::NetworkAddress& address);

}  // namespace sapphirecrank::clusterhost
