#pragma once

#include "base/resources.h"
#include "runs/batch_key.h"

namespace sapphirecrank::runs {

/// A batch with waiting tasks. Holds what decides whether one can be started, so that a walk over
/// the queue needs no look-up of batches that fit nowhere.
struct QueuedBatch {
  BatchKey key;
  /// Required by each of its tasks.
  base::Resources required_resources;
};

}  // namespace sapphirecrank::runs
