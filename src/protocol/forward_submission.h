#pragma once

#include "base/ids.h"
#include "jobs/submission.h"

namespace sapphirecrank::protocol {

/// A submission, forwarded to the host that owns its id.
struct ForwardSubmission {
  /// Returned in the `SubmissionResponse`. A process never reuses a number.
  base::SequenceNumber request_number;
  jobs::Submission submission;
};

}  // namespace sapphirecrank::protocol
