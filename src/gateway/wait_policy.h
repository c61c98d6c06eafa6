#pragma once

#include <optional>

#include "base/time.h"
#include "gateway/job.h"
#include "gateway/job_step.h"

namespace sapphirecrank::gateway {

/// Decides how long the tasks of a step may wait for capacity at an allocator.
///
/// A job meets its objective if it ends within `Job::latency_objective` plus
/// `Job::maximum_slowdown` times its run time. What this leaves beside the run time is the time
/// that the tasks may wait. Thread safety: pure.
class WaitPolicy {
 public:
  /// What has been used up of a job's time when its tasks are placed again.
  struct Progress {
    /// Time since the step was first placed.
    base::Duration step_age{0};
    /// Time until the caller's deadline.
    base::Duration time_left{0};
    /// The job can't be refused any more: some of its tasks may have run, or have another batch.
    bool may_have_run = false;
    /// How often the tasks have been placed.
    int placement_count = 1;
  };

  /// Returns the wait limit of the first batch of a step. It is shorter than the time that the
  /// tasks may wait, so that a refused caller can still submit the job elsewhere.
  static base::Duration FirstWait(const Job& job, const JobStep& step);

  /// Returns the wait limit of tasks that their allocator has returned, or none if they can't end
  /// before the deadline, or have been placed too often.
  static std::optional<base::Duration> WaitAfterReturn(const Job& job, const JobStep& step,
                                                       const Progress& progress);

  /// Returns the wait limit of a batch that ended because it found no capacity within its last wait
  /// limit, or none if it has been placed too often or can't end in time any more: within the job's
  /// objective, or before the deadline if the job can't be refused.
  static std::optional<base::Duration> WaitAfterRefusal(const Job& job, const JobStep& step,
                                                        const Progress& progress);
};

}  // namespace sapphirecrank::gateway
