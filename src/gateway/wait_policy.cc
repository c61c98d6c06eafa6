#include "gateway/wait_policy.h"

#include <algorithm>

namespace sapphirecrank::gateway {

using base::Duration;

namespace {

// A job may wait for a limited time in addition to its run time. It is refused after this share of
// that time, so that the caller can still submit it elsewhere. For a task of 60 ms that may take
// 140 ms the rest is 20 ms, which the messages of a start and of an end need as well.
constexpr double kFirstWaitShare = 0.75;
// Time beside the run time from the placement of a batch with free capacity until its caller has
// the response: the placement, the start request, the report of the end and two responses, each of
// which takes up to 2 ms between hosts.
constexpr Duration kTransportTime = std::chrono::milliseconds(10);
// Tasks that were returned late still get the time that an allocator needs to start them: it looks
// at waiting batches every 20 ms.
constexpr Duration kMinimumWaitAfterReturn = std::chrono::milliseconds(25);
// Each placement costs two messages. A batch that was refused by as many allocators meets an
// overload everywhere.
constexpr int kMaximumPlacementsAfterRefusal = 3;
// Bounds the messages if allocators return the same tasks again and again, each after a report of
// free capacity.
constexpr int kMaximumPlacementsAfterReturn = 8;

/// Returns how long the tasks of a step may wait for capacity so that the job meets its objective.
Duration AllowedWait(const Job& job, const JobStep& step) {
  return job.latency_objective +
         std::chrono::duration_cast<Duration>(step.estimated_run_time *
                                              std::max(0.0, job.maximum_slowdown - 1));
}

}  // namespace

Duration WaitPolicy::FirstWait(const Job& job, const JobStep& step) {
  return std::chrono::duration_cast<Duration>(AllowedWait(job, step) * kFirstWaitShare);
}

std::optional<Duration> WaitPolicy::WaitAfterReturn(const Job& job, const JobStep& step,
                                                    const Progress& progress) {
  if (progress.placement_count >= kMaximumPlacementsAfterReturn ||
      progress.time_left <= Duration(0)) {
    return std::nullopt;
  }
  // What has run can't be refused: its other end is an unfinished job.
  if (progress.may_have_run) {
    return progress.time_left;
  }
  const Duration latest_wait = progress.time_left - kTransportTime - step.estimated_run_time;
  if (latest_wait <= Duration(0)) {
    return std::nullopt;
  }
  return std::min(latest_wait,
                  std::max(FirstWait(job, step) - progress.step_age, kMinimumWaitAfterReturn));
}

std::optional<Duration> WaitPolicy::WaitAfterRefusal(const Job& job, const JobStep& step,
                                                     const Progress& progress) {
  if (progress.placement_count >= kMaximumPlacementsAfterRefusal) {
    return std::nullopt;
  }
  const Duration time_to_deadline = progress.time_left - step.estimated_run_time;
  // The other end of a job that may have run is an unfinished one, so that a late end is better.
  const Duration wait =
      (progress.may_have_run
           ? time_to_deadline
           : std::min(time_to_deadline, AllowedWait(job, step) - progress.step_age)) -
      kTransportTime;
  return wait > Duration(0) ? std::make_optional(wait) : std::nullopt;
}

}  // namespace sapphirecrank::gateway
