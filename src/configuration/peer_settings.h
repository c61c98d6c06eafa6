#pragma once

#include "base/ids.h"

namespace sapphirecrank::configuration {

/// Another entry host as named in the settings.
struct PeerSettings {
  base::HostId host;
  base::DataCentreId data_centre;
  base::NetworkAddress address;
  /// The host has a data folder and takes part in votes.
  bool has_disk = true;
};

}  // namespace sapphirecrank::configuration
