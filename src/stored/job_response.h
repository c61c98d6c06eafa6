#pragma once

#include "base/ids.h"
#include "base/units.h"
#include "stored/job_state.h"

namespace sapphirecrank::stored {

/// An allocator's response to a `JobRequest`.
struct JobResponse {
  enum class Outcome {
    /// The request was carried out and its effect is durable.
    kDone,
    /// The request was not carried out and will not be.
    kRefused,
    /// The request may have been carried out or may still be.
    kUncertain,
    /// The host doesn't lead the group and has done nothing.
    kNotLeader,
  };

  base::JobRequestNumber request_number;
  Outcome outcome = Outcome::kUncertain;
  /// The job's state; valid only if the outcome is `kDone` and the request is about a job.
  JobState state = JobState::kUnknown;
  /// Open jobs of the queue of which no task has begun; for `kCountPendingJobs`.
  base::TaskCount pending_job_count;
  /// The leader, or empty if it isn't known.
  base::HostId leader;
};

}  // namespace sapphirecrank::stored
