#pragma once

#include <string>

namespace sapphirecrank::base {

/// Names the calling thread for debuggers and process listings; Linux keeps the first 15
/// characters.
void SetThreadName(const std::string& name);

}  // namespace sapphirecrank::base
