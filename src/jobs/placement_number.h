#pragma once

#include "base/ids.h"

namespace sapphirecrank::jobs {

/// Number of a placement of a task by one owner; starts at 1 and goes on across epochs. Reports on
/// any placement but the latest are ignored.
using base::PlacementNumber;

}  // namespace sapphirecrank::jobs
