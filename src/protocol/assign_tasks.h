#pragma once

#include <vector>

#include "base/ids.h"
#include "protocol/assigned_task.h"

namespace sapphirecrank::protocol {

/// Assigns tasks of jobs to targets of the receiver. Sent by the owner of the jobs.
struct AssignTasks {
  /// No sender sets it and no receiver reads it; the encoding keeps the field.
  base::Epoch epoch;
  std::vector<AssignedTask> tasks;
};

}  // namespace sapphirecrank::protocol
