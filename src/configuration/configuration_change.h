#pragma once

#include <variant>

#include "base/ids.h"
#include "configuration/preset.h"
#include "configuration/preset_name.h"
#include "configuration/team_share.h"

namespace sapphirecrank::configuration {

/// One operator's change. It is accepted only if the configuration still has the expected version.
struct ConfigurationChange {
  struct ActivatePreset {
    PresetName name;
  };
  struct PutPreset {
    PresetName name;
    Preset preset;
  };
  struct PutTeam {
    base::TeamId team;
    TeamShare share;
  };
  struct RemoveTeam {
    base::TeamId team;
  };
  struct DrainHost {
    base::HostId host;
    bool drained = true;
  };
  struct DrainTarget {
    base::TargetId target;
    bool drained = true;
  };
  using Action =
      std::variant<ActivatePreset, PutPreset, PutTeam, RemoveTeam, DrainHost, DrainTarget>;

  /// Chosen by the operator's client; a resend repeats it and gets the first outcome.
  base::ChangeId id;
  base::Version expected_version;
  Action action;
};

}  // namespace sapphirecrank::configuration
