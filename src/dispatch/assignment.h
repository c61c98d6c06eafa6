#pragma once

#include <string>

#include "base/ids.h"
#include "scheduling/task_spec.h"

namespace sapphirecrank::dispatch {

/// A task that the owner of its job hands to the owner of targets.
struct Assignment {
  scheduling::TaskSpec spec;
  base::PlacementNumber placement;
  std::string payload;
};

}  // namespace sapphirecrank::dispatch
