#pragma once

#include "base/ids.h"
#include "jobs/job_result.h"

namespace sapphirecrank::protocol {

/// Response to the `ForwardSubmission` with the same request number.
struct SubmissionResponse {
  base::SequenceNumber request_number;
  jobs::JobResult result;
};

}  // namespace sapphirecrank::protocol
