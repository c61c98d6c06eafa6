#pragma once

#include "clusterhost/cluster_host_settings.h"
#include "peers/peer_network_settings.h"

namespace sapphirecrank::clusterhost {

/// Returns the network settings of a gateway or an allocator. Thread safety: pure.
peers::PeerNetworkSettings MakePeerNetworkSettings(const ClusterHostSettings& settings);

/// Returns the peer entry of a host; its peer address is also its id. Thread safety: pure.
peers::PeerAddress MakePeerAddress(const base::NetworkAddress& address);

}  // namespace sapphirecrank::clusterhost
