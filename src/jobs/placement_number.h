#pragma once

#include "base/ids.h"

namespace sapphirecrank::jobs {

/// Number of a placement of a task by one owner, from 1 and across epochs. Reports on any placement
/// but the latest are ignored.
using base::PlacementNumber;

}  // namespace sapphirecrank::jobs
