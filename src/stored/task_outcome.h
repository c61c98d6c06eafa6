#pragma once

#include "runs/run_key.h"

namespace sapphirecrank::stored {

/// The end of a run that counts for its stored job.
struct TaskOutcome {
  runs::RunKey key;
  /// The task is done; otherwise the run has failed.
  bool has_succeeded = false;
};

}  // namespace sapphirecrank::stored
