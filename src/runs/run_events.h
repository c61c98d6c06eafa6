#pragma once

#include <vector>

#include "runs/run_event.h"

namespace sapphirecrank::runs {

/// Run events of an allocator; sent again until they are acknowledged.
struct RunEvents {
  std::vector<RunEvent> events;
};

}  // namespace sapphirecrank::runs
