#pragma once

#include <variant>

#include "base/ids.h"
#include "configuration/preset.h"
#include "configuration/preset_name.h"
#include "configuration/team_share.h"

namespace sapphirecrank::configuration {

/// A change by an operator. It is accepted only if the configuration has the expected version.
struct ConfigurationChange {
  /// Makes a preset the active one.
  struct ActivatePreset {
    PresetName name;
  };
  /// Adds or replaces a preset.
  struct PutPreset {
    PresetName name;
    Preset preset;
  };
  /// Adds a team or replaces its share.
  struct PutTeam {
    base::TeamId team;
    TeamShare share;
  };
  struct RemoveTeam {
    base::TeamId team;
  };
  /// Starts or ends the draining of an entry host.
  struct DrainHost {
    base::HostId host;
    bool is_drained = true;
  };
  /// Starts or ends the draining of a target.
  struct DrainTarget {
    base::TargetId target;
    bool is_drained = true;
  };
  using Action =
      std::variant<ActivatePreset, PutPreset, PutTeam, RemoveTeam, DrainHost, DrainTarget>;

  /// Chosen by the operator's client. A change that is resent with the same id gets the first
  /// outcome.
  base::ChangeId id;
  base::Version expected_version;
  Action action;
};

}  // namespace sapphirecrank::configuration
