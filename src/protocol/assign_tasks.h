#pragma once

#include <vector>

#include "base/ids.h"
#include "protocol/assigned_task.h"

namespace sapphirecrank::protocol {

/// Tasks handed from the owner of a job to the owner of targets.
struct AssignTasks {
  base::Epoch epoch;
  std::vector<AssignedTask> tasks;
};

}  // namespace sapphirecrank::protocol
