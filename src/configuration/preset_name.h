#pragma once

#include "base/strong_id.h"

namespace sapphirecrank::configuration {

using PresetName = base::StrongId<struct PresetNameTag>;

}  // namespace sapphirecrank::configuration
