#pragma once

#include <set>

#include "base/time.h"
#include "runs/batch_key.h"
#include "runs/queue_position.h"

namespace sapphirecrank::runs {

/// Targets whose free capacity is kept for a batch that waits for more than any target has free.
/// Batches behind it in the queue get nothing there; batches before it do.
struct CapacityReservation {
  BatchKey batch;
  QueuePosition position;
  std::set<base::TargetId> targets;
  /// The reservation ends by this time, whether or not the batch has started.
  base::TimePoint ends_at;
};

}  // namespace sapphirecrank::runs
