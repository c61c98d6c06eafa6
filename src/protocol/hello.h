#pragma once

#include <cstdint>
#include <string>

#include "base/ids.h"

namespace sapphirecrank::protocol {

/// First message on a connection, sent by the host that connects.
struct Hello {
  uint32_t protocol_version = 0;
  base::HostId host;
  base::DataCentreId data_centre;
  base::Incarnation incarnation;
  /// Address at which the sender accepts connections, for a receiver that doesn't know it yet.
  base::NetworkAddress advertised_address;
  /// Secret that all entry hosts share. A connection with another secret is refused.
  std::string shared_secret;
};

}  // namespace sapphirecrank::protocol
