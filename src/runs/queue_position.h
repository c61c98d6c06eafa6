#pragma once

#include <tuple>

#include "base/time.h"
#include "base/units.h"

namespace sapphirecrank::runs {

/// Order in which batches are started: by priority, then by how long their tasks have waited, then
/// by arrival.
struct QueuePosition {
  base::Priority priority;
  /// When the tasks began to wait, also at other allocators.
  base::TimePoint waiting_since;
  uint64_t arrival_number = 0;

  friend bool operator<(const QueuePosition& a, const QueuePosition& b) {
    return std::tie(a.priority, a.waiting_since, a.arrival_number) <
           std::tie(b.priority, b.waiting_since, b.arrival_number);
  }
};

}  // namespace sapphirecrank::runs
