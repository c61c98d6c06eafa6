#pragma once

#include <string>
#include <vector>

#include "base/time.h"
#include "runs/part_key.h"
#include "runs/part_task.h"

namespace sapphirecrank::runs {

/// Tasks of one job that a gateway places with one allocator.
struct TaskPart {
  PartKey key;
  base::ServiceId service;
  base::Priority priority;
  /// Failed runs of a task after which the part fails.
  base::AttemptCount attempts{1};
  /// Handed to each task.
  std::string payload;
  std::vector<PartTask> tasks;
  /// A part that has not begun after this long is refused.
  base::Duration wait_limit{0};
  /// Everything is stopped after this long.
  base::Duration time_left{0};
};

}  // namespace sapphirecrank::runs
