#pragma once

#include <array>
#include <map>

#include "base/priority_class.h"
#include "configuration/preset_name.h"
#include "configuration/priority_class_parameters.h"
#include "limits/automatic_actions.h"

namespace sapphirecrank::configuration {

/// A named set of parameters that operators choose as a whole.
struct Preset {
  limits::AutomaticActions automatic_actions;
  /// By `base_entry_index::PriorityClass`.
  std::array<PriorityClassParameters, base::kPriorityClassCount> classes;

  /// Returns the presets of a new group: "ordinary", "peak", "maintenance" and
  /// "all-automatic-actions-off".
  static std::map<PresetName, Preset> StandardPresets();

  /// Returns the name of the preset that is in force in a new group.
  static PresetName OrdinaryName() { return PresetName("ordinary"); }

  /// Returns the name of the preset that has every automatic action off and can't be changed.
  static PresetName AllActionsOffName() { return PresetName("all-automatic-actions-off"); }

  /// Returns a set with every action off.
  static limits::AutomaticActions DisabledActions();
};

}  // namespace sapphirecrank::configuration
