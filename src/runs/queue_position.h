#pragma once

#include <tuple>

#include "base/units.h"

namespace sapphirecrank::runs {

/// Order in which batches are started: by priority, then by arrival.
struct QueuePosition {
  base::Priority priority;
  uint64_t arrival_number = 0;

  friend bool operator<(const QueuePosition& a, const QueuePosition& b) {
    return std::tie(a.priority, a.arrival_number) < std::tie(b.priority, b.arrival_number);
  }
};

}  // namespace sapphirecrank::runs
