#pragma once

#include "base/error.h"
#include "base/task_key.h"

namespace sapphirecrank::scheduling {

/// A queued task that will not be started. The verdict of the error is always `kNotRun`.
struct TaskRefusal {
  base::TaskKey task;
  base::Error error;
};

}  // namespace sapphirecrank::scheduling
