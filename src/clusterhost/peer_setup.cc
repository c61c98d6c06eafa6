#include "clusterhost/peer_setup.h"

namespace sapphirecrank::clusterhost {

namespace {

// A refused connection fails at once; without a pause each tick would try again.
constexpr base::Duration kReconnectInterval = std::chrono::milliseconds(200);
// Ten round trips between regions.
constexpr base::Duration kConnectTimeout = std::chrono::milliseconds(400);

}  // namespace

peers::PeerNetworkSettings MakePeerNetworkSettings(const ClusterHostSettings& settings) {
  peers::PeerNetworkSettings peer;
  peer.host = base::HostId(settings.advertised_peer_address.value());
  peer.data_centre = settings.data_centre;
  peer.incarnation = settings.incarnation;
  peer.advertised_address = settings.advertised_peer_address;
  peer.bind_address = settings.peer_bind_address;
  peer.shared_secret = settings.shared_secret;
  peer.accepts_unknown_hosts = true;
  peer.reconnect_interval = kReconnectInterval;
  peer.connect_timeout = kConnectTimeout;
  peer.heartbeat_interval = settings.heartbeat_interval;
  peer.link_timeout = settings.link_timeout;
  peer.host_timeout = settings.EffectiveHostTimeout();
  for (const base::NetworkAddress& seed : settings.seeds) {
    if (seed != settings.advertised_peer_address) {
      peer.peers.push_back(MakePeerAddress(seed));
    }
  }
  return peer;
}

peers::PeerAddress MakePeerAddress(const base::NetworkAddress& address) {
  return {base::HostId(address.value()), base::DataCentreId(), address};
}

}  // namespace sapphirecrank::clusterhost
