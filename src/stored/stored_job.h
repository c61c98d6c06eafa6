#pragma once

#include <vector>

#include "gateway/job.h"
#include "stored/stored_task.h"

namespace sapphirecrank::stored {

/// The replicated record of a job.
struct StoredJob {
  enum class Phase { kOpen, kCompleted, kFailed, kCancelled };

  /// The job as submitted; its payload is removed when the job ends.
  gateway::Job job;
  Phase phase = Phase::kOpen;
  /// The tasks of each step, in the order of `job.steps`.
  std::vector<std::vector<StoredTask>> steps;
};

}  // namespace sapphirecrank::stored
