#pragma once

#include "base/ids.h"
#include "runs/run_key.h"

namespace sapphirecrank::runs {

/// A finished run as its target lists it.
struct FinishedRun {
  enum class Outcome {
    kSucceeded,
    /// The task or the target failed.
    kFailed,
    /// The run was stopped by a stop request.
    kStopped,
    /// The target's lease expired.
    kLeaseExpired,
    /// Another member of the gang ended.
    kGangMemberEnded,
    /// The other members of the gang did not start in time.
    kGangIncomplete,
  };

  /// Position in the target's list of finished runs; starts at 1 in each incarnation of the target.
  base::SequenceNumber sequence_number;
  RunKey key;
  Outcome outcome = Outcome::kSucceeded;
};

}  // namespace sapphirecrank::runs
