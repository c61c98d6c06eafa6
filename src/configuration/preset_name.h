#pragma once

#include "base/strong_id.h"

namespace sapphirecrank::configuration {

/// Name of a preset, chosen by operators except for the standard presets.
using PresetName = base::StrongId<struct PresetNameTag>;

}  // namespace sapphirecrank::configuration
