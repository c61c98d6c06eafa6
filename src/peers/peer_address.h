#pragma once

#include "base/ids.h"

namespace sapphirecrank::peers {

/// Identity and location of another host, from the settings or from its hello.
struct PeerAddress {
  base::HostId host;
  base::DataCentreId data_centre;
  /// Address that its peer network listens on.
  base::NetworkAddress address;
};

}  // namespace sapphirecrank::peers
