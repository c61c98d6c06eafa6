#pragma once

#include <string>

#include "base/ids.h"
#include "scheduling/task_spec.h"

namespace sapphirecrank::dispatch {

/// A task that the host which holds its job or request assigns to an entry host.
struct Assignment {
  scheduling::TaskSpec spec;
  base::PlacementNumber placement;
  std::string payload;
};

}  // namespace sapphirecrank::dispatch
