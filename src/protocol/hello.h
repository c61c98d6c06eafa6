#pragma once

#include <cstdint>
#include <string>

#include "base/ids.h"

namespace sapphirecrank::protocol {

/// First message on a link, from the connecting side.
struct Hello {
  uint32_t protocol_version = 0;
  base::HostId host;
  base::DataCentreId data_centre;
  base::Incarnation incarnation;
  /// Where the sender accepts links, for a host that doesn't know it yet.
  base::NetworkAddress advertised_address;
  /// Shared by all entry hosts; a host with another secret is refused.
  std::string shared_secret;
};

}  // namespace sapphirecrank::protocol
