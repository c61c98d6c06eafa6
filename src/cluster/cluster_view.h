#pragma once

#include <vector>

#include "base/ids.h"
#include "membership/view_state_machine.h"

namespace sapphirecrank::cluster {

/// The agreed set of allocators that own targets. All owners use the epoch as their fencing token.
struct ClusterView {
  using Member = membership::ViewStateMachine::Member;

  base::Epoch epoch;
  std::vector<Member> members;

  /// Returns the owner of a target in `data_centre`: one of the members in that data centre, or one
  /// of all members if none is there. Returns null if there are no members. The order of the
  /// members doesn't matter. Thread safety: pure.
  const Member* FindOwner(const base::TargetId& target,
                          const base::DataCentreId& data_centre) const;
};

}  // namespace sapphirecrank::cluster
