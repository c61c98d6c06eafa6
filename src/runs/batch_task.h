#pragma once

#include "base/resources.h"
#include "runs/job_task_key.h"

namespace sapphirecrank::runs {

/// One task of a `TaskBatch` and the resources that it needs.
struct BatchTask {
  JobTaskKey key;
  base::Resources required_resources;
};

}  // namespace sapphirecrank::runs
