#pragma once

#include <memory>

#include "base/ids.h"
#include "base/task_key.h"
#include "base/time.h"
#include "jobs/placement_number.h"

namespace sapphirecrank::jobs {

struct Submission;

/// Permission to start a task once. The report on it repeats the epoch, key and placement.
struct TaskStart {
  base::Epoch epoch;
  base::TaskKey key;
  PlacementNumber placement;
  /// The submission of the task's job; contains the payload at `key.index`.
  std::shared_ptr<const Submission> submission;
  base::TimePoint deadline;
};

}  // namespace sapphirecrank::jobs
