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
  /// Run time without straggling.
  base::Duration ideal_run_time{0};
  /// Run time on a target of usual speed.
  base::Duration run_time{0};
};

}  // namespace sapphirecrank::bench
