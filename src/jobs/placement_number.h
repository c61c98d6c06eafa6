#pragma once

#include "base/ids.h"

namespace sapphirecrank::jobs {

/// Counts the placements of one task by one owner in one epoch or later, from 1. Only the report on
/// the latest placement is believed.
using base::PlacementNumber;

}  // namespace sapphirecrank::jobs
