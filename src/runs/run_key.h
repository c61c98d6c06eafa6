#pragma once

#include <tuple>

#include "runs/job_task_key.h"

namespace sapphirecrank::runs {

/// Identifies one run of a task: the task and the number of the run.
struct RunKey {
  JobTaskKey task;
  base::RunNumber run;

  friend bool operator==(const RunKey& a, const RunKey& b) {
    return a.run == b.run && a.task == b.task;
  }
  friend bool operator<(const RunKey& a, const RunKey& b) {
    return std::tie(a.task, a.run) < std::tie(b.task, b.run);
  }
};

}  // namespace sapphirecrank::runs
