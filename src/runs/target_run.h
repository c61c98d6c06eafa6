#pragma once

#include <optional>

#include "base/resources.h"
#include "base/time.h"
#include "runs/batch_key.h"

namespace sapphirecrank::runs {

/// A run as the owner of its target knows it. It keeps its share of the target's capacity until the
/// target has shown that the run is gone.
struct TargetRun {
  enum class Phase { kStarting, kRunning, kStopping };

  BatchKey batch;
  /// Position of the task in the batch.
  size_t task_position = 0;
  base::Resources required_resources;
  Phase phase = Phase::kStarting;
  /// The result of the run isn't needed any more: its batch has ended or its task was queued again.
  bool is_orphan = false;
  /// The run belongs to a stored job.
  bool is_stored = false;
  /// Another host may have owned the target after the run was requested, and may have processed its
  /// end.
  bool had_other_owner = false;
  /// The target's lease has ended since the run was last known to be active.
  bool has_lease_expired = false;
  /// The target's present incarnation has listed the run, or has confirmed its start. Otherwise the
  /// run may be on a new incarnation of which this host hasn't learned yet.
  bool is_on_known_incarnation = false;
  /// No other run of the task may start while this one may be active.
  bool reserves_task = true;
  /// Progress that the target last listed, and since when it has listed the same; unset before the
  /// target has listed the run.
  std::optional<int> progress_percent;
  base::TimePoint progressed_at;
  base::TimePoint start_requested_at;
  /// When the batch ended while the run was still there. From then on the caller may submit its job
  /// again through another gateway. Unset before.
  std::optional<base::TimePoint> abandoned_at;
  /// When the target confirmed the start request; unset before.
  std::optional<base::TimePoint> start_confirmed_at;
  /// When the target confirmed the stop request; unset before.
  std::optional<base::TimePoint> stop_confirmed_at;
  bool is_stop_pending = false;
  base::TimePoint next_stop_at;
};

}  // namespace sapphirecrank::runs
