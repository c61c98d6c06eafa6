#pragma once

#include <optional>

#include "base/ids.h"
#include "base/time.h"
#include "base/units.h"

namespace sapphirecrank::gateway {

/// An open batch of which tasks may wait at its allocator.
struct RecallCandidate {
  base::SubmissionId job;
  base::BatchNumber batch;
  base::HostId allocator;
  base::ServiceId service;
  base::Priority priority;
  base::TaskCount task_count;
  /// See the same members of `OpenBatch`.
  base::TimePoint placed_at;
  base::TimePoint may_wait_until;
  bool had_free_capacity = false;
  int placement_count = 1;
  int recall_count = 0;
  std::optional<base::TimePoint> recalled_at;
};

}  // namespace sapphirecrank::gateway
