#pragma once

#include "base/ids.h"

namespace sapphirecrank::runs {

/// Request of a gateway to return the waiting tasks of one of its batches. The allocator answers
/// with `ReturnedTasks`, or not at all if no task of the batch waits.
struct BatchRecall {
  base::SubmissionId job;
  base::BatchNumber batch;
};

}  // namespace sapphirecrank::runs
