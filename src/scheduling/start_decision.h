#pragma once

#include "base/ids.h"
#include "base/task_key.h"

namespace sapphirecrank::scheduling {

/// The scheduler's decision to start a task on a target; a slot is taken until `OnTaskEnded`.
struct StartDecision {
  base::TaskKey task;
  base::TargetId target;
};

}  // namespace sapphirecrank::scheduling
