#pragma once

#include "base/strong_number.h"

namespace sapphirecrank::base {

/// Number of task slots of a target.
using SlotCount = StrongNumber<struct SlotCountTag, int32_t>;
/// Number of connections to a target.
using ConnectionCount = StrongNumber<struct ConnectionCountTag, int32_t>;
/// Thousandths of a processor core.
using MilliCores = StrongNumber<struct MilliCoresTag>;
using ByteCount = StrongNumber<struct ByteCountTag>;
using AcceleratorCount = StrongNumber<struct AcceleratorCountTag, int32_t>;
using TaskCount = StrongNumber<struct TaskCountTag>;
/// Relative share of a team.
using Weight = StrongNumber<struct WeightTag>;
using PortNumber = StrongNumber<struct PortNumberTag, uint16_t>;

}  // namespace sapphirecrank::base
