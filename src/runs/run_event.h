#pragma once

#include <tuple>

#include "base/ids.h"
#include "runs/run_key.h"

namespace sapphirecrank::runs {

/// Reports a change of one run of a stored job from its allocator to the stored job manager.
struct RunEvent {
  enum class Kind {
    /// The target has accepted the start request.
    kStarted,
    kSucceeded,
    kFailed,
    /// The allocator has no run of the task any more and starts no further one.
    kReturned,
  };

  base::ServiceId service;
  base::TargetId target;
  /// Incarnation of the target that had the run.
  base::Incarnation target_incarnation;
  /// Position in the target's list of finished runs; 0 if the event isn't from that list.
  base::SequenceNumber end_sequence_number;
  RunKey key;
  Kind kind = Kind::kStarted;
  /// With `kReturned`: the run isn't active any more, so that the task need not wait for the end of
  /// its lease. Not part of the event's identity.
  bool is_run_gone = false;

  friend bool operator<(const RunEvent& a, const RunEvent& b) {
    return std::tie(a.key, a.kind, a.target, a.target_incarnation, a.end_sequence_number) <
           std::tie(b.key, b.kind, b.target, b.target_incarnation, b.end_sequence_number);
  }
};

}  // namespace sapphirecrank::runs
