#pragma once

#include "base/ids.h"
#include "base/task_key.h"

namespace sapphirecrank::scheduling {

/// The scheduler's decision to start a task on a target. The task uses a slot of the target until
/// `Scheduler::OnTaskEnded` is called for it.
struct StartDecision {
  base::TaskKey task;
  base::TargetId target;
};

}  // namespace sapphirecrank::scheduling
