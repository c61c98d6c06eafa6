#pragma once

#include "base/ids.h"
#include "base/priority_class.h"
#include "base/resources.h"
#include "base/target_kind.h"
#include "base/task_key.h"
#include "base/time.h"

namespace sapphirecrank::scheduling {

/// Description of a task for the scheduler. The payload stays with the dispatcher.
struct TaskSpec {
  base::TaskKey key;
  base::TeamId team;
  base::TaskKind kind;
  base::PriorityClass priority_class = base::PriorityClass::kOrdinary;
  base::TargetKind target_kind = base::TargetKind::kWorker;
  /// Declared by the caller; may be off by a factor of ten.
  base::Resources declared_resources;
  /// Declared by the caller; zero if unknown; may be off by a factor of ten.
  base::Duration declared_run_time{0};
  base::TimePoint deadline;
  bool idempotent = false;
};

}  // namespace sapphirecrank::scheduling
