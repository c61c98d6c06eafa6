#pragma once

#include "base/ids.h"

namespace sapphirecrank::protocol {

/// Asks the owner of a job to cancel the job.
struct CancelSubmission {
  base::SubmissionId submission;
};

}  // namespace sapphirecrank::protocol
