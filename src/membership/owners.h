#pragma once

#include <optional>

#include "base/ids.h"

namespace sapphirecrank::membership {

/// Hosts that are responsible for a key.
struct Owners {
  /// None in a view without members.
  std::optional<base::HostId> owner;
  /// Takes over if the owner leaves the view; none in a view of one member.
  std::optional<base::HostId> backup;
};

}  // namespace sapphirecrank::membership
