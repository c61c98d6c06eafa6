#pragma once

#include <vector>

#include "base/error.h"
#include "base/ids.h"
#include "jobs/task_result.h"

namespace sapphirecrank::jobs {

/// The result of a submission: success with the results of all tasks, or failure.
struct JobResult {
  bool succeeded = false;
  /// Why the job failed, with the verdict on the whole job; meaningless if `succeeded`.
  base::Error error;
  /// If the error is `kFenced`: the host that owns the job, or empty if it isn't known.
  base::HostId owner;
  /// One entry for each task, in order; empty if the job's owner couldn't be asked or gave no
  /// result. The verdict of each entry also holds if the job failed.
  std::vector<TaskResult> task_results;
};

}  // namespace sapphirecrank::jobs
