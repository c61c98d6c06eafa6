#pragma once

#include <cstdint>

#include "base/strong_number.h"

namespace sapphirecrank::configuration {

using Percent = base::StrongNumber<struct PercentTag, int32_t>;

}  // namespace sapphirecrank::configuration
