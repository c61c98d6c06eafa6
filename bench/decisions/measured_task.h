#pragma once

#include <cstdint>

#include "base/time.h"

namespace sapphirecrank::bench {

/// What happened to one task in a simulation.
struct MeasuredTask {
  enum class Outcome : uint8_t {
    kUnfinished,
    kMetDeadline,
    kMissedDeadline,
    kFailed,
    kRefused,
    kExpired,
    kCancelled
  };

  base::TimePoint arrival;
  base::TimePoint started;
  base::TimePoint ended;
  int starts = 0;
  Outcome end = Outcome::kUnfinished;
  /// Index of the target that ran it.
  uint32_t target = 0;
  /// Waited while long work of a lower class ran and that class held more than its share.
  bool behind_excess = false;
  /// Refused before and started nevertheless, or refused after the start.
  bool untrue_refusal = false;
  bool unsatisfiable = false;
};

}  // namespace sapphirecrank::bench
