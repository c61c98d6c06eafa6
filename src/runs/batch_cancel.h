#pragma once

#include "base/ids.h"

namespace sapphirecrank::runs {

/// Cancels all batches that the sending gateway has placed for a job. The allocator stops their
/// runs and sends no `BatchResult`.
struct BatchCancel {
  base::SubmissionId job;
};

}  // namespace sapphirecrank::runs
