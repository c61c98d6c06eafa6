#pragma once

#include <cstdint>

#include "base/strong_number.h"

namespace sapphirecrank::limits {

/// Identifies an open connection within its process; never used again.
using IntakeId = base::StrongNumber<struct IntakeIdTag, uint64_t>;

}  // namespace sapphirecrank::limits
