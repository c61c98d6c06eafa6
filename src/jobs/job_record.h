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

/// What the owner of a job has its backup or its disk keep. Records of one job only add to each
/// other, so that they may arrive repeatedly and in any order after the first full one.
struct JobRecord {
  base::Epoch epoch;
  MembershipView::Member owner;
  /// Number of the owner's acceptance or takeover of the job, never used twice by one process.
  /// Tells a job from an earlier one with the same id that its owner has dropped.
  base::SequenceNumber ownership_sequence_number;
  /// Repeated by the acknowledgement.
  base::SequenceNumber sequence_number;
  base::SubmissionId id;
  /// Set in a full record, which holds everything known of the job; otherwise null.
  std::shared_ptr<const Submission> submission;
  /// The owner can't tell alone whether the id is new. The backup stores this full record only if
  /// the backup can: it was owner or backup of the id since its creation and doesn't know it.
  bool requires_uniqueness_check = false;
  /// Time left until the job's deadline at the time of sending.
  base::Duration time_left{0};
  /// Tasks that may be started once this record is acknowledged.
  std::vector<base::TaskIndex> started_tasks;
  std::vector<TaskResult> task_results;
  /// The job ended; then `results` or earlier records name each task.
  bool has_ended = false;
  bool succeeded = false;
  /// Why the job failed, if it ended and is not complete.
  base::Error error;
};

}  // namespace sapphirecrank::jobs
