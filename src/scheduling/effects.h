#pragma once

#include <vector>

#include "scheduling/start_decision.h"
#include "scheduling/task_refusal.h"

namespace sapphirecrank::scheduling {

/// What a change of a shard leads to; the hooks are called for it after the lock is released.
struct Effects {
  std::vector<StartDecision> starts;
  std::vector<TaskRefusal> refusals;
};

}  // namespace sapphirecrank::scheduling
