#pragma once

#include <array>
#include <map>

#include "base/priority_class.h"
#include "configuration/preset_name.h"
#include "configuration/priority_class_parameters.h"
#include "limits/automatic_actions.h"

namespace sapphirecrank::configuration {

/// A set of parameters that operators activate as a whole, by its name.
struct Preset {
  limits::AutomaticActions automatic_actions;
  /// Indexed by `base::PriorityClass`.
  std::array<PriorityClassParameters, base::kPriorityClassCount> classes;

  /// Returns the presets of a new group: "ordinary", "peak", "maintenance" and
  /// "all-automatic-actions-off".
  static std::map<PresetName, Preset> StandardPresets();

  /// Returns the name of the preset that is active in a new group.
  static PresetName OrdinaryName() { return PresetName("ordinary"); }

  /// Returns the name of the preset with every automatic action off. A change that turns one on in
  /// this preset is refused.
  static PresetName AllActionsOffName() { return PresetName("all-automatic-actions-off"); }

  /// Returns the settings with every automatic action off.
  static limits::AutomaticActions DisabledActions();
};

}  // namespace sapphirecrank::configuration
