#pragma once

#include <string>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "peers/peer_address.h"

namespace sapphirecrank::peers {

/// What a host needs to know to link with the other entry hosts.
struct PeerNetworkSettings {
  base::HostId host;
  base::DataCentreId data_centre;
  base::Incarnation incarnation;
  /// Where other hosts reach this one.
  base::NetworkAddress advertised_address;
  /// Where to listen if connections to `listen` are forwarded there; empty if they aren't.
  base::NetworkAddress bind_address;
  std::string shared_secret;
  /// Hosts to link with from the start; `PeerNetwork::AddPeer` adds further ones.
  std::vector<PeerAddress> peers;
  /// Accepts links of hosts that aren't known yet and links back to the address that they name.
  bool accepts_unknown_hosts = false;
  /// A link that isn't open after this long is given up: a host without power answers nothing, and
  /// the system would repeat the first packet only after a second.
  base::Duration connect_timeout = std::chrono::milliseconds(600);
  /// Pause between attempts to connect to the same host.
  base::Duration reconnect_interval{0};
  base::Duration heartbeat_interval = std::chrono::milliseconds(200);
  /// An open link whose heartbeat is unanswered for this long is replaced by a new connection.
  base::Duration link_timeout = std::chrono::milliseconds(600);
  /// A host counts as lost if the last heartbeat that it has answered was sent this long ago.
  base::Duration host_timeout = std::chrono::seconds(1);
};

}  // namespace sapphirecrank::peers
