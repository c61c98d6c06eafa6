#pragma once

#include <cstdint>

#include "base/strong_number.h"

namespace sapphirecrank::configuration {

/// A share in percent. The type doesn't limit the range; `ConfigurationStore` accepts 0 to 100.
using Percent = base::StrongNumber<struct PercentTag, int32_t>;

}  // namespace sapphirecrank::configuration
