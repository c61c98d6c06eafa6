#pragma once

#include <memory>
#include <vector>

#include "base/error.h"
#include "base/ids.h"
#include "base/time.h"
#include "jobs/membership_view.h"
#include "jobs/task_result.h"

namespace sapphirecrank::jobs {

struct Submission;

/// A record of a job's progress that its owner stores on its backup or its disk. Records of one job
/// only add information, so after the first full one they may arrive repeatedly and in any order.
struct JobRecord {
  base::Epoch epoch;
  MembershipView::Member owner;
  /// Number of the owner's acceptance or takeover of the job, never used twice by one process.
  /// Distinguishes the job from an earlier one with the same id that its owner has dropped.
  base::SequenceNumber ownership_sequence_number;
  /// Number of this record; the acknowledgement repeats it.
  base::SequenceNumber sequence_number;
  base::SubmissionId id;
  /// Set in a full record, which contains everything that is known about the job; otherwise null.
  std::shared_ptr<const Submission> submission;
  /// The owner can't tell on its own whether the id is new. The backup stores this full record only
  /// if it can tell: it was owner or backup of the id since the id's creation and doesn't know it.
  bool requires_uniqueness_check = false;
  /// Time left until the job's deadline at the time of sending.
  base::Duration time_left{0};
  /// Tasks that may be started once this record is acknowledged. A full record also contains those
  /// that were started before and have no result.
  std::vector<base::TaskIndex> started_tasks;
  std::vector<TaskResult> task_results;
  /// The job has ended. Then `task_results` and those of earlier records cover all tasks.
  bool has_ended = false;
  bool succeeded = false;
  /// Why the job failed, if it has ended without success.
  base::Error error;
};

}  // namespace sapphirecrank::jobs
