#pragma once

#include <string>

#include "base/ids.h"
#include "base/priority_class.h"
#include "base/resources.h"
#include "base/target_kind.h"
#include "base/task_key.h"
#include "base/time.h"

namespace sapphirecrank::protocol {

/// One task that the receiver is to run on a target of its own.
struct AssignedTask {
  base::TaskKey key;
  base::PlacementNumber placement;
  base::TeamId team;
  base::TaskKind kind;
  base::PriorityClass priority_class = base::PriorityClass::kOrdinary;
  base::TargetKind target_kind = base::TargetKind::kWorker;
  base::Resources declared_resources;
  base::Duration declared_run_time{0};
  /// Time left when the message was made; the receiver counts from its arrival.
  base::Duration time_until_deadline{0};
  bool idempotent = false;
  std::string payload;
};

}  // namespace sapphirecrank::protocol
