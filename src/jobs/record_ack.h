#pragma once

#include "base/ids.h"

namespace sapphirecrank::jobs {

/// A backup's answer to a `JobRecord`.
struct RecordAck {
  enum class Outcome {
    kStored,
    /// The backup has no current copy of the job and needs a full record.
    kUnknownJob,
    /// The record is `requires_uniqueness_check`, and the id may have been accepted before.
    kPossibleDuplicate,
    /// The record is of another epoch than the backup's, or the backup may not act.
    kFenced,
  };

  /// The backup's epoch.
  base::Epoch epoch;
  base::Incarnation owner_incarnation;
  base::SequenceNumber sequence_number;
  base::SubmissionId id;
  /// After `kPossibleDuplicate`: the host that owns the job or has its outcome, or empty if it
  /// isn't known.
  base::HostId known_owner;
  Outcome outcome = Outcome::kFenced;
};

}  // namespace sapphirecrank::jobs
