#pragma once

#include "base/ids.h"
#include "base/units.h"

namespace sapphirecrank::jobs {

/// Progress of a job as seen by one entry host.
struct JobStatus {
  enum class State {
    /// The id is not known here. Its job may have run nevertheless.
    kUnknown,
    /// Not yet recorded on a second host or a disk.
    kRecordingSubmission,
    kRunning,
    /// The outcome is decided and is being recorded.
    kRecordingOutcome,
    kSucceeded,
    kFailed,
  };

  State state = State::kUnknown;
  /// The host that owns the job, as far as this host knows.
  base::HostId owner;
  base::TaskCount task_count;
  /// Tasks with a start record and no result.
  base::TaskCount in_flight_task_count;
  base::TaskCount ended_task_count;
};

}  // namespace sapphirecrank::jobs
