#pragma once

#include <string>
#include <vector>

#include "base/ids.h"
#include "base/time.h"

namespace sapphirecrank::clusterhost {

/// Settings that gateways and allocators have in common.
struct ClusterHostSettings {
  /// For logs.
  std::string name;
  base::DataCentreId data_centre;
  base::Incarnation incarnation;
  /// Where other hosts link to this one; also its name among them.
  base::NetworkAddress peer_listen;
  /// Shared by all hosts; one with another secret is refused.
  std::string secret;
  /// Allocators to ask first, by their address for links.
  std::vector<base::NetworkAddress> seeds;
  base::Duration heartbeat_interval = std::chrono::milliseconds(250);
  /// An open link whose heartbeat is unanswered for this long is replaced.
  base::Duration link_timeout = std::chrono::milliseconds(600);
  /// A host that has answered no heartbeat for this long counts as lost. Below the time after which
  /// a caller sends an unanswered job again, so that its first runs are stopped by then.
  base::Duration host_timeout = std::chrono::milliseconds(1000);
};

}  // namespace sapphirecrank::clusterhost
