#pragma once

#include "base/ids.h"
#include "jobs/submission.h"

namespace sapphirecrank::protocol {

/// A submission passed on to the host that owns its id.
struct ForwardSubmission {
  /// Repeated by the answer; never used twice by one process.
  base::SequenceNumber request_number;
  jobs::Submission submission;
};

}  // namespace sapphirecrank::protocol
