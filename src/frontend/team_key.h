#pragma once

#include <string>

#include "base/ids.h"

namespace sapphirecrank::frontend {

/// A team's key.
struct TeamKey {
  base::TeamId team;
  std::string secret;
};

}  // namespace sapphirecrank::frontend
