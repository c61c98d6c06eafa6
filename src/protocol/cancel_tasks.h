#pragma once

#include "base/ids.h"

namespace sapphirecrank::protocol {

/// Asks the receiver to remove the queued tasks of a submission.
struct CancelTasks {
  base::SubmissionId submission;
};

}  // namespace sapphirecrank::protocol
