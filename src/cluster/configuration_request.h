#pragma once

namespace sapphirecrank::cluster {

/// Request of a gateway to an allocator for the configuration in force.
struct ConfigurationRequest {};

}  // namespace sapphirecrank::cluster
