#pragma once

#include "base/ids.h"

namespace sapphirecrank::jobs {

/// A backup's acknowledgement of a `JobRecord`.
struct RecordAck {
  enum class Outcome {
    kStored,
    /// The backup has no copy of the job and needs a full record.
    kUnknownJob,
    /// The record has `requires_uniqueness_check`, and the id may have been accepted before.
    kPossibleDuplicate,
    /// The record isn't valid in the backup's epoch or for its copy, or the backup has no view
    /// lease.
    kFenced,
  };

  /// The backup's epoch.
  base::Epoch epoch;
  base::Incarnation owner_incarnation;
  base::SequenceNumber sequence_number;
  base::SubmissionId id;
  /// For `kPossibleDuplicate`: the host that owns the job or knows its outcome; empty if it isn't
  /// known.
  base::HostId known_owner;
  Outcome outcome = Outcome::kFenced;
};

}  // namespace sapphirecrank::jobs
