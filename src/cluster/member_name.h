#pragma once

#include <string>

#include "base/ids.h"

namespace sapphirecrank::cluster {

/// Name of a host in the group: its peer address and the id of its disk's data. So a host that has
/// lost its disk is a new member, which doesn't count as the voter whose votes and log are lost.
///
/// Thread safety: pure.
struct MemberName {
  static constexpr char kSeparator = '/';

  /// Returns the name of the host at `address` whose disk has the id `store_id`.
  static base::HostId Format(const base::HostId& address, const std::string& store_id) {
    return base::HostId(address.value() + kSeparator + store_id);
  }

  /// Returns the address part of the name `member`.
  static base::HostId ParseHost(const base::HostId& member) {
    return base::HostId(member.value().substr(0, member.value().find(kSeparator)));
  }
};

}  // namespace sapphirecrank::cluster
