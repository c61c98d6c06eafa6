#pragma once

#include "base/ids.h"

namespace sapphirecrank::peers {

/// Another entry host as named in the settings.
struct PeerAddress {
  base::HostId host;
  base::DataCentreId data_centre;
  base::NetworkAddress address;
};

}  // namespace sapphirecrank::peers
