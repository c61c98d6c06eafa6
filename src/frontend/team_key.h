#pragma once

#include <string>

#include "base/ids.h"

namespace sapphirecrank::frontend {

/// A team and the secret that authenticates its callers.
struct TeamKey {
  base::TeamId team;
  std::string secret;
};

}  // namespace sapphirecrank::frontend
