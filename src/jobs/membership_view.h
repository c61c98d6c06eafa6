#pragma once

#include <vector>

#include "base/ids.h"

namespace sapphirecrank::jobs {

/// The agreed entry hosts of a data centre in one epoch.
struct MembershipView {
  /// One start of one entry host; a host that restarted is another member.
  struct Member {
    base::HostId host;
    base::Incarnation incarnation;

    friend bool operator==(const Member& a, const Member& b) {
      return a.incarnation == b.incarnation && a.host == b.host;
    }
    friend bool operator!=(const Member& a, const Member& b) { return !(a == b); }
  };

  /// Above 0.
  base::Epoch epoch;
  std::vector<Member> members;
  /// The receiving process knows that nothing was accepted in the data centre before: this is its
  /// first view, and this process is the first start of its host in it. Without it, ids created
  /// until a settle time after a process's first view are accepted only through their backup.
  bool is_initial = false;
};

}  // namespace sapphirecrank::jobs
