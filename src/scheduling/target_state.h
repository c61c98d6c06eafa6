#pragma once

#include "base/ids.h"
#include "base/resources.h"
#include "base/target_kind.h"
#include "base/time.h"
#include "base/units.h"

namespace sapphirecrank::scheduling {

/// State of a target as known from its announcements.
struct TargetState {
  base::TargetId id;
  base::TargetKind kind = base::TargetKind::kWorker;
  base::RackId rack;
  /// All slots and resources of the target, in use or not.
  base::SlotCount slots;
  base::Resources capacity;
  /// Slots in use by work that this scheduler didn't start, for example work of the previous owner.
  base::SlotCount externally_used_slots;
  /// The target has announced that it leaves; no task starts on it.
  bool leaving = false;
  /// No task starts on the target before this time, the end of the previous owner's lease.
  base::TimePoint usable_from;
  /// No task starts on the target from this time on, unless an announcement renews the lease.
  base::TimePoint lease_end;
};

}  // namespace sapphirecrank::scheduling
