#pragma once

#include <vector>

#include "protocol/task_result.h"

namespace sapphirecrank::protocol {

/// Results sent from the owner of targets to the owner of the job.
struct TaskResults {
  std::vector<TaskResult> results;
};

}  // namespace sapphirecrank::protocol
