#pragma once

#include <string_view>

#include "base/ids.h"
#include "membership/owners.h"

namespace sapphirecrank::membership {

struct View;

/// Selects the hosts responsible for a key by rendezvous hashing over the members of a view, so
/// that a change of view moves only the keys of the hosts that left or joined.
///
/// Thread safety: pure.
class OwnerSelector {
 public:
  /// Returns owner and backup of `key`, which is the text of a target or submission id. Members in
  /// another order give the same result.
  static Owners SelectOwners(const View& view, std::string_view key);

  /// Tells whether `host` owns `key`.
  static bool IsOwner(const View& view, const base::HostId& host, std::string_view key);
};

}  // namespace sapphirecrank::membership
