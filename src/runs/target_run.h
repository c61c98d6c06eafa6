#pragma once

#include <optional>

#include "base/resources.h"
#include "base/time.h"
#include "runs/batch_key.h"

namespace sapphirecrank::runs {

/// A run as its owner knows it. It holds its room until the target has shown that it is gone.
struct TargetRun {
  enum class Phase { kStarting, kRunning, kStopping };

  BatchKey batch;
  /// Position of the task in the part.
  size_t task_position = 0;
  base::Resources required_resources;
  Phase phase = Phase::kStarting;
  /// Nobody waits for the run any more: its part has ended or its task was placed again.
  bool is_orphan = false;
  /// The run is of a stored job.
  bool is_stored = false;
  /// Another owner had the target since the run was ordered, and may have taken in its end.
  bool had_other_owner = false;
  /// The target's lease has ended since the run was last known to be present.
  bool has_lease_expired = false;
  /// No other run of the task may begin while this one may be present.
  bool reserves_task = true;
  base::TimePoint start_requested_at;
  /// When the part was given up, whose caller may submit its job again elsewhere; unset before.
  std::optional<base::TimePoint> abandoned_at;
  /// When the target confirmed the start; unset before.
  std::optional<base::TimePoint> start_confirmed_at;
  /// When the target confirmed the stop; unset before.
  std::optional<base::TimePoint> stop_confirmed_at;
  bool is_stop_pending = false;
  base::TimePoint next_stop_at;
};

}  // namespace sapphirecrank::runs
