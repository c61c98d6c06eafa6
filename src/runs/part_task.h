#pragma once

#include "base/resources.h"
#include "runs/task_name.h"

namespace sapphirecrank::runs {

/// One task of a part.
struct BatchTask {
  TaskName name;
  base::Resources need;
};

}  // namespace sapphirecrank::runs
