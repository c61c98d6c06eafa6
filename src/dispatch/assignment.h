#pragma once

#include <string>

#include "base/ids.h"
#include "scheduling/task_spec.h"

namespace sapphirecrank::dispatch {

/// A task that is assigned to an entry host by the host that holds its job or request.
struct Assignment {
  scheduling::TaskSpec spec;
  base::PlacementNumber placement;
  std::string payload;
};

}  // namespace sapphirecrank::dispatch
