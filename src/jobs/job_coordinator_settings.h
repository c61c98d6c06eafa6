#pragma once

#include <cstddef>
#include <cstdint>

#include "base/time.h"

namespace sapphirecrank::jobs {

/// Parameters of a `JobCoordinator`.
struct JobCoordinatorSettings {
  size_t shard_count = 16;
  /// Maximum number of tasks of one job that have a start record and no result.
  size_t maximum_in_flight_tasks = 200;
  size_t maximum_tasks_per_job = 200;
  /// Maximum number of placements of a task. If the last one has not run either, the job fails,
  /// with "not run" for this task.
  uint32_t maximum_placements_per_task = 5;
  /// Delay before the second placement of a task. Doubles with each further placement, up to eight
  /// times this value.
  base::Duration placement_retry_delay = std::chrono::milliseconds(5);
  /// Time without acknowledgement after which a record is sent again. Doubles with each send, up to
  /// eight times this value.
  base::Duration record_resend_delay = std::chrono::milliseconds(50);
  /// Time for which results wait so that several share a record.
  base::Duration result_batch_delay = std::chrono::milliseconds(20);
  /// Maximum wait for the record of a successful outcome before the callers get the result without
  /// it.
  base::Duration success_record_timeout = std::chrono::milliseconds(50);
  /// Maximum wait for the record of a failed outcome. It is long enough for a change of view,
  /// because without the record no task can be reported as "not run".
  base::Duration failure_record_timeout = std::chrono::seconds(2);
  /// Time for which a new owner waits for results of tasks that the previous owner started.
  base::Duration inherited_task_timeout = std::chrono::milliseconds(1500);
  /// Time for which an ended job is kept. Precondition: at least `maximum_new_submission_age` + 2 *
  /// `maximum_clock_skew`.
  base::Duration ended_job_retention = std::chrono::minutes(10);
  /// Maximum number of ended jobs on this host; beyond it the oldest are evicted early. Must be
  /// large enough for the jobs that end during several `maximum_clock_skew`, because new ids that
  /// are not clearly younger than the youngest evicted one are rejected as expired.
  size_t maximum_ended_jobs = 100'000;
  /// Maximum age of an id that is accepted as new.
  base::Duration maximum_new_submission_age = std::chrono::minutes(5);
  /// Maximum difference between the clock that an id's creation time was read from and the clock of
  /// any entry host.
  base::Duration maximum_clock_skew = std::chrono::seconds(1);
  /// Time for which other hosts may still act under the previous view after this host has learned
  /// of the next one: the longest view lease plus a margin.
  base::Duration view_transition_time = std::chrono::seconds(2);
};

}  // namespace sapphirecrank::jobs
