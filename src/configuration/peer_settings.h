#pragma once

#include "base/ids.h"

namespace sapphirecrank::configuration {

/// Another entry host as listed in the settings.
struct PeerSettings {
  base::HostId host;
  base::DataCentreId data_centre;
  base::NetworkAddress address;
  /// Whether the host has a data folder and votes.
  bool has_disk = true;
};

}  // namespace sapphirecrank::configuration
