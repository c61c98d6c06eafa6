#pragma once

#include "cluster/configuration_record.h"

namespace sapphirecrank::cluster {

/// Response of an allocator to a `ConfigurationRequest`.
struct ConfigurationResponse {
  ConfigurationRecord configuration;
};

}  // namespace sapphirecrank::cluster
