#pragma once

#include <vector>

#include "base/ids.h"

namespace sapphirecrank::jobs {

/// The agreed entry hosts of a data centre in one epoch.
struct MemberView {
  /// One start of one entry host; a host that restarted is another member.
  struct Member {
    base::HostId host;
    base::Incarnation incarnation;

    friend bool operator==(const Member& a, const Member& b) {
      return a.incarnation == b.incarnation && a.host == b.host;
    }
    friend bool operator!=(const Member& a, const Member& b) { return !(a == b); }
  };

  /// 1 for the first view that the data centre ever had.
  base::Epoch epoch;
  std::vector<Member> members;
};

}  // namespace sapphirecrank::jobs
