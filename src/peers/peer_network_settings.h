#pragma once

#include <string>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "peers/peer_address.h"

namespace sapphirecrank::peers {

/// Identity of this host, addresses, shared secret and timeouts of a `PeerNetwork`.
struct PeerNetworkSettings {
  base::HostId host;
  base::DataCentreId data_centre;
  base::Incarnation incarnation;
  /// Address at which other hosts reach this one.
  base::NetworkAddress advertised_address;
  /// Address to listen on if connections to `advertised_address` are forwarded there; empty to
  /// listen on `advertised_address`.
  base::NetworkAddress bind_address;
  /// The same on all hosts; a connection without it is refused.
  std::string shared_secret;
  /// Hosts to connect to from the start; `PeerNetwork::AddPeer` adds further ones.
  std::vector<PeerAddress> peers;
  /// Accepts connections of hosts that aren't in `peers` and connects back to the address that
  /// they advertise.
  bool accepts_unknown_hosts = false;
  /// A connection attempt that isn't complete after this long is abandoned and started again: a
  /// host without power doesn't respond, and the operating system would resend the first packet
  /// only after a second.
  base::Duration connect_timeout = std::chrono::milliseconds(600);
  /// Minimum time between the starts of two connection attempts to the same host.
  base::Duration reconnect_interval{0};
  base::Duration heartbeat_interval = std::chrono::milliseconds(200);
  /// An open link without a heartbeat acknowledgement for this long is replaced by a new
  /// connection.
  base::Duration link_timeout = std::chrono::milliseconds(600);
  /// A host counts as lost once its last acknowledged heartbeat was sent this long ago.
  base::Duration host_timeout = std::chrono::seconds(1);
};

}  // namespace sapphirecrank::peers
