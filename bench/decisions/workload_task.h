#pragma once

#include <cstddef>

#include "base/time.h"
#include "scheduling/task_spec.h"

namespace sapphirecrank::bench {

/// One task of a workload.
struct WorkloadTask {
  scheduling::TaskSpec spec;
  /// Position of the job in `Workload::jobs`.
  size_t job_index = 0;
  /// Run time if the task were no straggler.
  base::Duration ideal_run_time{0};
  /// Run time on a target of normal speed.
  base::Duration run_time{0};
};

}  // namespace sapphirecrank::bench
