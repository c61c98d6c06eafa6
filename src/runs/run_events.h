#pragma once

#include <vector>

#include "runs/run_event.h"

namespace sapphirecrank::runs {

/// Notices of an allocator; repeated until they are answered.
struct RunEvents {
  std::vector<RunEvent> events;
};

}  // namespace sapphirecrank::runs
