#pragma once

#include <vector>

#include "base/error.h"
#include "jobs/task_result.h"

namespace sapphirecrank::jobs {

/// The answer to a submission: complete with the results of all tasks, or failed.
struct JobAnswer {
  bool complete = false;
  /// Why the job failed, with the verdict on the whole job; meaningless if `complete`.
  base::Error error;
  /// One entry for each task, in order. In a failed answer each entry's verdict is true.
  std::vector<TaskResult> tasks;
};

}  // namespace sapphirecrank::jobs
