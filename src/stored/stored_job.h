#pragma once

#include <vector>

#include "gateway/job.h"
#include "stored/stored_task.h"

namespace sapphirecrank::stored {

/// A job that the group has agreed to keep.
struct StoredJob {
  enum class Phase { kOpen, kCompleted, kFailed, kCancelled };

  /// Without its payload once it has ended.
  gateway::Job job;
  Phase phase = Phase::kOpen;
  /// The tasks of each step.
  std::vector<std::vector<StoredTask>> steps;
};

}  // namespace sapphirecrank::stored
