#pragma once

#include <string>

#include "base/ids.h"
#include "base/priority_class.h"
#include "base/resources.h"
#include "base/target_kind.h"
#include "base/task_key.h"
#include "base/time.h"

namespace sapphirecrank::protocol {

/// A task that the receiving host has to run on one of its own targets.
struct AssignedTask {
  base::TaskKey key;
  base::PlacementNumber placement;
  base::TeamId team;
  base::TaskKind kind;
  base::PriorityClass priority_class = base::PriorityClass::kOrdinary;
  base::TargetKind target_kind = base::TargetKind::kWorker;
  /// Resources and run time as the caller declared them.
  base::Resources declared_resources;
  base::Duration declared_run_time{0};
  /// Time until the deadline when the message was created. The receiver adds it to the time of
  /// arrival.
  base::Duration time_until_deadline{0};
  /// The task may run more than once.
  bool idempotent = false;
  std::string payload;
};

}  // namespace sapphirecrank::protocol
