#pragma once

#include <string>

namespace sapphirecrank::testing {

/// Returns a loopback address with a port that was free when it was checked. Thread safety: may be
/// called from any thread.
std::string FreeLoopbackAddress();

}  // namespace sapphirecrank::testing
