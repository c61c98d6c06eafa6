#pragma once

#include "runs/run_key.h"

namespace sapphirecrank::stored {

/// The outcome of a run of a stored job's task, as it is recorded for the job.
struct TaskOutcome {
  runs::RunKey key;
  /// The run succeeded, so the task is done; otherwise the run failed.
  bool has_succeeded = false;
};

}  // namespace sapphirecrank::stored
