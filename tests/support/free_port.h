#pragma once

#include <string>

namespace sapphirecrank::testing {

/// Returns a loopback address with a port that is free now.
std::string FreeLoopbackAddress();

}  // namespace sapphirecrank::testing
