#pragma once

#include <map>
#include <set>

#include "base/ids.h"
#include "configuration/preset.h"
#include "configuration/preset_name.h"
#include "configuration/team_share.h"

namespace sapphirecrank::configuration {

/// The replicated configuration at one version.
struct Configuration {
  /// Increases by one with each accepted change.
  base::Version version{1};
  PresetName active_preset_name = Preset::OrdinaryName();
  std::map<PresetName, Preset> presets = Preset::StandardPresets();
  std::map<base::TeamId, TeamShare> teams;
  /// Entry hosts and targets that receive no new work.
  std::set<base::HostId> drained_hosts;
  std::set<base::TargetId> drained_targets;

  /// Returns the active preset. Precondition: `presets` has it.
  const Preset& active_preset() const { return this->presets.at(this->active_preset_name); }
};

}  // namespace sapphirecrank::configuration
