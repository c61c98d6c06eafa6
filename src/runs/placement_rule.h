#pragma once

#include "base/ids.h"
#include "base/units.h"

namespace sapphirecrank::runs {

/// What a step asks of the targets of its tasks, beside room.
struct PlacementRule {
  /// The target must have this label; any will do if it is empty.
  base::LabelId required_label;
  /// Tasks of the step on one target at a time; 0 sets no bound.
  base::TaskCount maximum_tasks_per_target;

  /// Tells whether some targets with room may not do. Thread safety: pure.
  bool HasConstraints() const {
    return !this->required_label.empty() || this->maximum_tasks_per_target > base::TaskCount(0);
  }
};

}  // namespace sapphirecrank::runs
