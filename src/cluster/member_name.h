#pragma once

#include <string>

#include "base/ids.h"

namespace sapphirecrank::cluster {

/// Name of a host in the group: its address for links and the id of its disk, so that a host that
/// has lost its disk is another member, which has no part in votes of the lost one.
///
/// Thread safety: pure.
struct MemberName {
  static constexpr char kSeparator = '/';

  /// Returns the name of the host at `address` whose disk is called `store`.
  static base::HostId Format(const base::HostId& address, const std::string& store) {
    return base::HostId(address.value() + kSeparator + store);
  }

  /// Returns the host that `member` names.
  static base::HostId ParseHost(const base::HostId& member) {
    return base::HostId(member.value().substr(0, member.value().find(kSeparator)));
  }
};

}  // namespace sapphirecrank::cluster
