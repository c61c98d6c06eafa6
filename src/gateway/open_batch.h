#pragma once

#include <map>
#include <optional>
#include <set>

#include "base/ids.h"
#include "base/time.h"

namespace sapphirecrank::gateway {

/// A batch that has not ended at its allocator, as far as its gateway knows.
struct OpenBatch {
  base::HostId allocator;
  base::StepIndex step;
  /// The tasks that are with the allocator: those of the batch without the returned ones.
  std::set<base::TaskIndex> tasks;
  base::RunNumber first_run_number{1};
  base::TimePoint placed_at;
  /// The end of its wait limit.
  base::TimePoint may_wait_until;
  /// See `AllocatorChoice::has_free_capacity`.
  bool had_free_capacity = false;
  /// How often its tasks have been placed, this batch included.
  int placement_count = 1;
  int recall_count = 0;
  /// Time of the last recall that has not been answered.
  std::optional<base::TimePoint> recalled_at;
  /// The allocators that had its tasks before, see `AllocatorRequest::avoided`.
  std::map<base::HostId, base::TimePoint> avoided;
};

}  // namespace sapphirecrank::gateway
