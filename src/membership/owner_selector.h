#pragma once

#include <string_view>

#include "base/ids.h"
#include "membership/owners.h"

namespace sapphirecrank::membership {

struct View;

/// Selects the hosts that are responsible for a key by rendezvous hashing over the members of a
/// view. A change of the view therefore moves only the keys of hosts that left and those keys that
/// hosts that joined now own.
///
/// Thread safety: pure.
class OwnerSelector {
 public:
  /// Returns the owner and the backup of `key`, the text of a target id or submission id. The order
  /// of the view's members doesn't matter.
  static Owners SelectOwners(const View& view, std::string_view key);

  /// Tells whether `host` owns `key`.
  static bool IsOwner(const View& view, const base::HostId& host, std::string_view key);
};

}  // namespace sapphirecrank::membership
