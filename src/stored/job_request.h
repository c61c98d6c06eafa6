#pragma once

#include <string>

#include "base/ids.h"

namespace sapphirecrank::stored {

/// A request of a gateway to the leader about stored jobs.
struct JobRequest {
  enum class Kind { kSubmit, kQueryState, kCancel, kCountPendingJobs };

  base::JobRequestNumber request_number;
  Kind kind = Kind::kQueryState;
  /// Empty for `kCountPendingJobs`.
  base::SubmissionId job_id;
  /// The queue whose jobs are counted; empty for the other kinds.
  base::QueueId queue;
  /// The encoded `JobCommand` of a submission; empty for the other kinds.
  std::string command;
};

}  // namespace sapphirecrank::stored
