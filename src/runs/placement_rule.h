#pragma once

#include "base/ids.h"
#include "base/units.h"

namespace sapphirecrank::runs {

/// Constraints of a step on the targets of its tasks, in addition to the resources.
struct PlacementRule {
  /// The target must have this label; empty allows any target.
  base::LabelId required_label;
  /// Maximum number of the step's tasks on one target at the same time; 0 means no limit.
  base::TaskCount maximum_tasks_per_target;

  /// Returns whether targets with enough free capacity may be unsuitable. Thread safety: pure.
  bool HasConstraints() const {
    return !this->required_label.empty() || this->maximum_tasks_per_target > base::TaskCount(0);
  }
};

}  // namespace sapphirecrank::runs
