#pragma once

#include "base/ids.h"

namespace sapphirecrank::protocol {

/// Asks the receiver to drop the queued tasks of a submission.
struct CancelTasks {
  base::SubmissionId submission;
};

}  // namespace sapphirecrank::protocol
