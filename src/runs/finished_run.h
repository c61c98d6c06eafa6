#pragma once

#include "base/ids.h"
#include "runs/run_key.h"

namespace sapphirecrank::runs {

/// The end of a run as its target lists it.
struct FinishedRun {
  enum class Outcome {
    kSucceeded,
    /// Through a fault of the task or of the target.
    kFailed,
    /// By an order.
    kStopped,
    /// The target's lease ended.
    kLeaseExpired,
    /// Another member of the gang ended.
    kGangMemberEnded,
    /// The other members of the gang didn't come in time.
    kGangIncomplete,
  };

  /// Position in the target's list, from 1 in each life of the target.
  base::SequenceNumber sequence_number;
  RunKey key;
  Outcome outcome = Outcome::kSucceeded;
};

}  // namespace sapphirecrank::runs
