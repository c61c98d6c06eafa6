#pragma once

#include <algorithm>
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
  base::NetworkAddress advertised_peer_address;
  /// Where it listens if connections to `peer_listen` are forwarded there; empty if they aren't.
  base::NetworkAddress peer_bind_address;
  /// Shared by all hosts; one with another secret is refused.
  std::string shared_secret;
  /// Allocators to ask first, by their address for links.
  std::vector<base::NetworkAddress> seeds;
  base::Duration heartbeat_interval = std::chrono::milliseconds(250);
  /// An open link whose heartbeat is unanswered for this long is replaced.
  base::Duration link_timeout = std::chrono::milliseconds(600);
  /// A host that has answered no heartbeat for this long counts as lost, or earlier if callers
  /// submit again earlier; see `EffectiveHostTimeout`.
  base::Duration host_timeout = std::chrono::milliseconds(1000);
  /// How long a caller waits at least before it submits an unanswered job again.
  base::Duration resubmission_delay = std::chrono::milliseconds(1300);

  /// Returns how long a host may be silent: the runs of a lost gateway's jobs have to be stopped
  /// before their callers submit them again.
  base::Duration EffectiveHostTimeout() const {
    constexpr base::Duration kTimeToStop = std::chrono::milliseconds(300);
    return std::min(this->host_timeout, this->resubmission_delay - kTimeToStop);
  }

  /// Returns how long leases may last after a gateway was last known to wait for its runs. A
  /// target's clock may be 2 % slow.
  base::Duration LeaseAfterGatewayContact() const {
    constexpr base::Duration kClockError = std::chrono::milliseconds(100);
    return this->resubmission_delay - kClockError;
  }
};

}  // namespace sapphirecrank::clusterhost
