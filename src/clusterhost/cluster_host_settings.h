#pragma once

#include <algorithm>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/time.h"

namespace sapphirecrank::clusterhost {

/// Settings common to gateways and allocators.
struct ClusterHostSettings {
  /// For logs.
  std::string name;
  base::DataCentreId data_centre;
  base::Incarnation incarnation;
  /// Where other hosts connect to this one; also its host id.
  base::NetworkAddress advertised_peer_address;
  /// Where this host listens if connections to `advertised_peer_address` are forwarded there; empty
  /// if they aren't.
  base::NetworkAddress peer_bind_address;
  /// Shared by all hosts; a host with another secret is refused.
  std::string shared_secret;
  /// Peer addresses of the allocators to connect to first.
  std::vector<base::NetworkAddress> seeds;
  base::Duration heartbeat_interval = std::chrono::milliseconds(250);
  /// A connection is replaced if a heartbeat on it is unacknowledged for this long.
  base::Duration link_timeout = std::chrono::milliseconds(600);
  /// A host that has acknowledged no heartbeat for this long counts as lost. `EffectiveHostTimeout`
  /// is shorter if callers resubmit earlier.
  base::Duration host_timeout = std::chrono::milliseconds(1000);
  /// Minimum time that a caller waits before it resubmits a job that got no response.
  base::Duration resubmission_delay = std::chrono::milliseconds(1300);

  /// Returns how long a host may be silent before it counts as lost. The runs of a lost gateway's
  /// jobs have to be stopped before their callers resubmit them. Thread safety: pure.
  base::Duration EffectiveHostTimeout() const {
    constexpr base::Duration kRunStopTime = std::chrono::milliseconds(300);
    return std::min(this->host_timeout, this->resubmission_delay - kRunStopTime);
  }

  /// Returns the longest time that leases may last after the last contact with a gateway. They have
  /// to end before callers resubmit, also if a target's clock is 2 % slow. Thread safety: pure.
  base::Duration LeaseAfterGatewayContact() const {
    constexpr base::Duration kClockDriftMargin = std::chrono::milliseconds(100);
    return this->resubmission_delay - kClockDriftMargin;
  }

  /// Returns the time after which the runs of a lost allocator or leader are gone and their ends
  /// are known, for leases of at most `maximum_lease`. Thread safety: pure.
  base::Duration LostRunDelay(base::Duration maximum_lease) const {
    // For the next owner to read how the runs ended.
    constexpr base::Duration kReadingTime = std::chrono::milliseconds(600);
    constexpr base::Duration kMinimumDelay = std::chrono::milliseconds(1800);
    const base::Duration longest_lease =
        std::min(this->LeaseAfterGatewayContact(), this->EffectiveHostTimeout() + maximum_lease);
    return std::max(kMinimumDelay, longest_lease + kReadingTime);
  }
};

}  // namespace sapphirecrank::clusterhost
