#pragma once

#include <tuple>

#include "base/ids.h"
#include "base/resources.h"

namespace sapphirecrank::runs {

/// What the tasks of a step require of their targets.
struct TaskRequirements {
  /// The target must have this label; empty allows any target.
  base::LabelId required_label;
  /// Required by each task.
  base::Resources resources;

  /// Tells whether each target that is suitable for tasks with these requirements is suitable for
  /// tasks with `other` as well. Thread safety: pure.
  bool Include(const TaskRequirements& other) const {
    return (other.required_label.empty() || other.required_label == this->required_label) &&
           this->resources.CanFit(other.resources);
  }

  friend bool operator==(const TaskRequirements& a, const TaskRequirements& b) {
    return a.required_label == b.required_label && a.resources == b.resources;
  }
  friend bool operator<(const TaskRequirements& a, const TaskRequirements& b) {
    const auto key = [](const TaskRequirements& requirements) {
      const base::Resources& resources = requirements.resources;
      return std::tie(requirements.required_label, resources.processors, resources.memory,
                      resources.accelerators);
    };
    return key(a) < key(b);
  }
};

}  // namespace sapphirecrank::runs
