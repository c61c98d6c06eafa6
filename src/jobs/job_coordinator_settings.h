#pragma once

#include <cstddef>
#include <cstdint>

#include "base/time.h"

namespace sapphirecrank::jobs {

/// Parameters of a `JobCoordinator`.
struct JobCoordinatorSettings {
  size_t shard_count = 16;
  /// Tasks of one job that may have a start record and no result at the same time.
  size_t maximum_in_flight_tasks = 200;
  size_t maximum_tasks_per_job = 200;
  /// Times that a task is placed before its job fails with "not run" for it.
  uint32_t maximum_placements_per_task = 5;
  /// Delay before the second placement; doubles with each further one.
  base::Duration placement_retry_delay = std::chrono::milliseconds(5);
  /// Time without acknowledgement after which a record is sent again; doubles up to eight times.
  base::Duration record_resend_delay = std::chrono::milliseconds(50);
  /// Time for which results wait to share a record.
  base::Duration result_batch_delay = std::chrono::milliseconds(20);
  /// Longest wait for the record of a complete job's end before its callers are answered.
  base::Duration success_record_timeout = std::chrono::milliseconds(50);
  /// Longest wait for the record of a failed job's end. It spans a change of view, because without
  /// the record no task can be called "not run".
  base::Duration failure_record_timeout = std::chrono::seconds(2);
  /// Time for which a new owner waits for results of tasks that the previous owner started.
  base::Duration inherited_task_timeout = std::chrono::milliseconds(1500);
  /// Time for which an ended job is remembered. Precondition: at least `maximum_new_submission_age`
  /// + 2 * `maximum_clock_skew`.
  base::Duration ended_job_retention = std::chrono::minutes(10);
  /// Ended jobs remembered on this host; beyond that the oldest are forgotten early. Must hold the
  /// jobs of several `maximum_clock_skew`: new ids that are not clearly younger than the youngest
  /// forgotten one are refused as expired.
  size_t maximum_ended_jobs = 100'000;
  /// Oldest id that is accepted as new.
  base::Duration maximum_new_submission_age = std::chrono::minutes(5);
  /// Largest error of the creation time in an id against the clock of any entry host.
  base::Duration maximum_clock_skew = std::chrono::seconds(1);
  /// Time after the learning of a view for which other hosts may still act under the previous one:
  /// the longest view lease and a margin.
  base::Duration view_transition_time = std::chrono::seconds(2);
};

}  // namespace sapphirecrank::jobs
