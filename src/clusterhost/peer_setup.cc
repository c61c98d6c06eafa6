#include "clusterhost/peer_setup.h"

namespace sapphirecrank::clusterhost {

namespace {

// A refused connection fails immediately; without this delay each tick would reconnect.
constexpr base::Duration kReconnectInterval = std::chrono::milliseconds(200);
// Ten round trips between two regions.
constexpr base::Duration kConnectTimeout = std::chrono::milliseconds(400);

}  // namespace

peers::PeerNetworkSettings MakePeerNetworkSettings(const ClusterHostSettings& settings) {
  peers::PeerNetworkSettings network_settings;
  network_settings.host = base::HostId(settings.advertised_peer_address.value());
  network_settings.data_centre = settings.data_centre;
  network_settings.incarnation = settings.incarnation;
  network_settings.advertised_address = settings.advertised_peer_address;
  network_settings.bind_address = settings.peer_bind_address;
  network_settings.shared_secret = settings.shared_secret;
  network_settings.accepts_unknown_hosts = true;
  network_settings.reconnect_interval = kReconnectInterval;
  network_settings.connect_timeout = kConnectTimeout;
  network_settings.heartbeat_interval = settings.heartbeat_interval;
  network_settings.link_timeout = settings.link_timeout;
  network_settings.host_timeout = settings.EffectiveHostTimeout();
  for (const base::NetworkAddress& seed : settings.seeds) {
    if (seed != settings.advertised_peer_address) {
      network_settings.peers.push_back(MakePeerAddress(seed));
    }
  }
  return network_settings;
}

peers::PeerAddress MakePeerAddress(const base::NetworkAddress& address) {
  return {base::HostId(address.value()), base::DataCentreId(), address};
}

}  // namespace sapphirecrank::clusterhost
