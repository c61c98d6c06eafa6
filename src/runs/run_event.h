#pragma once

#include <tuple>

#include "base/ids.h"
#include "runs/run_key.h"

namespace sapphirecrank::runs {

/// What an allocator tells the keeper of a stored job about one of its runs.
struct RunEvent {
  enum class Kind {
    /// The target has accepted the start.
    kStarted,
    kSucceeded,
    kFailed,
    /// The allocator has no run of the task any more and starts none.
    kReturned,
  };

  base::ServiceId service;
  base::TargetId target;
  /// Life of the target.
  base::Incarnation target_incarnation;
  /// Position in the target's list of ends; 0 if no end is listed.
  base::SequenceNumber end_sequence_number;
  RunKey key;
  Kind kind = Kind::kStarted;

  friend bool operator<(const RunEvent& a, const RunEvent& b) {
    return std::tie(a.key, a.kind, a.target, a.end_sequence_number) <
           std::tie(b.key, b.kind, b.target, b.end_sequence_number);
  }
};

}  // namespace sapphirecrank::runs
