#pragma once

#include <string>

#include "base/ids.h"

namespace sapphirecrank::stored {

/// What a gateway asks the keeper of the stored jobs.
struct JobRequest {
  enum class Kind { kSubmit, kQueryState, kCancel, kCountPendingJobs };

  base::JobRequestNumber request_number;
  Kind kind = Kind::kQueryState;
  /// Empty if a count is asked for.
  base::SubmissionId job_id;
  /// The queue whose jobs are counted; else empty.
  base::QueueId queue;
  /// The encoded `JobCommand` of a submission; else empty.
  std::string command;
};

}  // namespace sapphirecrank::stored
