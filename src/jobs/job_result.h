#pragma once

#include <vector>

#include "base/error.h"
#include "base/ids.h"
#include "jobs/task_result.h"

namespace sapphirecrank::jobs {

/// The answer to a submission: complete with the results of all tasks, or failed.
struct JobResult {
  bool succeeded = false;
  /// Why the job failed, with the verdict on the whole job; meaningless if `complete`.
  base::Error error;
  /// If the error is `kFenced`: the host that owns the job, or empty if it isn't known.
  base::HostId owner;
  /// One entry for each task, in order. In a failed answer each entry's verdict is true.
  std::vector<TaskResult> task_results;
};

}  // namespace sapphirecrank::jobs
