#pragma once

#include "base/ids.h"
#include "jobs/job_result.h"

namespace sapphirecrank::protocol {

/// The answer to `ForwardSubmission`.
struct SubmissionResponse {
  base::SequenceNumber request_number;
  jobs::JobResult result;
};

}  // namespace sapphirecrank::protocol
