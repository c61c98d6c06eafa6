#pragma once

#include "base/ids.h"
#include "base/units.h"
#include "stored/job_state.h"

namespace sapphirecrank::stored {

/// The answer to a `JobRequest`.
struct JobReply {
  enum class Outcome {
    /// The request is carried out, and durable.
    kDone,
    /// It is not carried out and will not be.
    kRefused,
    /// It may have been carried out, or may be later.
    kUncertain,
    /// The host that was asked doesn't keep the stored jobs and has done nothing.
    kNotLeader,
  };

  base::JobRequestNumber request_number;
  Outcome outcome = Outcome::kUncertain;
  JobState state = JobState::kUnknown;
  /// Open jobs of the queue that have not begun.
  base::TaskCount pending_job_count;
  /// The host that leads, if it is known.
  base::HostId leader;
};

}  // namespace sapphirecrank::stored
