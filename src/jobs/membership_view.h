#pragma once

#include <vector>

#include "base/ids.h"

namespace sapphirecrank::jobs {

/// The entry hosts of a data centre in one epoch, as the hosts have agreed on them.
struct MembershipView {
  /// One incarnation of an entry host; a host that has restarted is another member.
  struct Member {
    base::HostId host;
    base::Incarnation incarnation;

    friend bool operator==(const Member& a, const Member& b) {
      return a.incarnation == b.incarnation && a.host == b.host;
    }
    friend bool operator!=(const Member& a, const Member& b) { return !(a == b); }
  };

  /// Epoch of the view, above 0.
  base::Epoch epoch;
  std::vector<Member> members;
  /// The receiving process knows that no id was accepted in the data centre before: this is the
  /// data centre's first view, and this process is its host's first incarnation. If false, ids
  /// created until `JobCoordinatorSettings::view_transition_time` after a process learned of its
  /// first view are accepted as new only with a check by the backup.
  bool is_initial = false;
};

}  // namespace sapphirecrank::jobs
