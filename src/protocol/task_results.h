#pragma once

#include <vector>

#include "protocol/task_result.h"

namespace sapphirecrank::protocol {

/// Task results, sent from the owner of the targets to the owner of the jobs.
struct TaskResults {
  std::vector<TaskResult> results;
};

}  // namespace sapphirecrank::protocol
