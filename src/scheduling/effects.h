#pragma once

#include <vector>

#include "scheduling/start_decision.h"
#include "scheduling/task_refusal.h"

namespace sapphirecrank::scheduling {

/// Start decisions and refusals that a call on a shard makes. The scheduler calls its hooks for
/// them after it has released the shard's lock.
struct Effects {
  std::vector<StartDecision> starts;
  std::vector<TaskRefusal> refusals;
};

}  // namespace sapphirecrank::scheduling
