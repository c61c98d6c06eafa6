#pragma once

#include <vector>

#include "base/ids.h"
#include "membership/view_state_machine.h"

namespace sapphirecrank::cluster {

/// The allocators that own targets, as agreed. The epoch is the fencing token of all of them.
struct ClusterView {
  using Member = membership::ViewStateMachine::Member;

  base::Epoch epoch;
  std::vector<Member> members;

  /// Returns the owner of a target of `data_centre`, or null if there are no members: one of the
  /// members in that data centre, or one of all if it has none. Thread safety: pure.
  const Member* FindOwner(const base::TargetId& target,
                          const base::DataCentreId& data_centre) const;
};

}  // namespace sapphirecrank::cluster
