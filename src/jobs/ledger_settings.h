#pragma once

#include <cstddef>
#include <cstdint>

#include "base/time.h"

namespace sapphirecrank::jobs {

/// Parameters of a `SubmissionLedger`.
struct JobCoordinatorSettings {
  size_t shards = 16;
  /// Tasks of one job that may have a start record and no result at the same time.
  size_t start_window = 200;
  size_t max_tasks = 200;
  /// Times that a task is placed before its job fails with "not run" for it.
  uint32_t max_placements = 5;
  /// Delay before the second placement; doubles with each further one.
  base::Duration place_again_delay = std::chrono::milliseconds(5);
  /// Time without acknowledgement after which a record is sent again; doubles up to eight times.
  base::Duration resend_delay = std::chrono::milliseconds(50);
  /// Time for which results wait to share a record.
  base::Duration result_record_delay = std::chrono::milliseconds(20);
  /// Longest wait for the record of a complete job's end before its callers are answered.
  base::Duration complete_record_wait = std::chrono::milliseconds(50);
  /// Longest wait for the record of a failed job's end. It spans a change of view, because without
  /// the record no task can be called "not run".
  base::Duration failed_record_wait = std::chrono::seconds(2);
  /// Time for which a new owner waits for results of tasks that the previous owner started.
  base::Duration takeover_wait = std::chrono::milliseconds(1500);
  /// Time for which an ended job is remembered. Precondition: at least `max_new_age` +
  /// 2 * `clock_tolerance`.
  base::Duration retention = std::chrono::minutes(10);
  /// Ended jobs remembered on this host; beyond that the oldest are forgotten early. Must hold the
  /// jobs of several `clock_tolerance`: new ids that are not clearly younger than the youngest
  /// forgotten one are refused as expired.
  size_t max_ended = 100'000;
  /// Oldest id that is accepted as new.
  base::Duration max_new_age = std::chrono::minutes(5);
  /// Largest error of the creation time in an id against the clock of any entry host.
  base::Duration clock_tolerance = std::chrono::seconds(1);
  /// Time after the learning of a view for which other hosts may still act under the previous one:
  /// the longest view lease and a margin.
  base::Duration view_settle_time = std::chrono::seconds(2);
};

}  // namespace sapphirecrank::jobs
