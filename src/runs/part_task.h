#pragma once

#include "base/resources.h"
#include "runs/task_name.h"

namespace sapphirecrank::runs {

/// One task of a part.
struct BatchTask {
  JobTaskKey key;
  base::Resources required_resources;
};

}  // namespace sapphirecrank::runs
