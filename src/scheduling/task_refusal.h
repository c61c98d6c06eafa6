#pragma once

#include "base/error.h"
#include "base/task_key.h"

namespace sapphirecrank::scheduling {

/// A queued task that will not be started; the verdict of the error is always "not run".
struct TaskRefusal {
  base::TaskKey task;
  base::Error error;
};

}  // namespace sapphirecrank::scheduling
