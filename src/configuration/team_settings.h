#pragma once

#include "base/ids.h"
#include "base/units.h"

namespace sapphirecrank::configuration {

/// A team as listed in the settings.
struct TeamSettings {
  base::TeamId id;
  base::Weight weight{1};
};

}  // namespace sapphirecrank::configuration
