#pragma once

#include "base/strong_number.h"

namespace sapphirecrank::jobs {

/// Counts the placements of one task by one owner in one epoch or later, from 1. Only the report on
/// the latest placement is believed.
using PlacementNumber = base::StrongNumber<struct PlacementNumberTag, uint32_t>;

}  // namespace sapphirecrank::jobs
