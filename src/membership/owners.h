#pragma once

#include <optional>

#include "base/ids.h"

namespace sapphirecrank::membership {

/// The hosts that are responsible for a key.
struct Owners {
  /// None if the view has no members.
  std::optional<base::HostId> owner;
  /// Becomes the owner if the owner leaves the view. None if the view has fewer than two members.
  std::optional<base::HostId> backup;
};

}  // namespace sapphirecrank::membership
