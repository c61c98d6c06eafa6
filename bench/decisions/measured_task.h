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

  base::TimePoint arrival_time;
  base::TimePoint start_time;
  base::TimePoint end_time;
  int start_count = 0;
  Outcome outcome = Outcome::kUnfinished;
  /// Index of the target that ran it.
  uint32_t target_index = 0;
  /// Was queued on arrival while a lower class ran long tasks and held more slots than its share.
  bool waited_behind_excess_share = false;
  /// Was started after its refusal, or refused after its start.
  bool has_contradictory_refusal = false;
  bool is_unsatisfiable = false;
};

}  // namespace sapphirecrank::bench
