#pragma once

#include "base/ids.h"

namespace sapphirecrank::configuration {

/// Another entry host as named in the settings.
struct HostAddress {
  base::HostId host;
  base::DataCentreId data_centre;
  base::NetworkAddress address;
};

}  // namespace sapphirecrank::configuration
