#pragma once

#include <functional>
#include <optional>

#include "base/ids.h"
#include "consensus/membership_change.h"
#include "consensus/raft_membership.h"

namespace sapphirecrank::entryhost {

/// Leads the membership of a group, one change at a time, to the hosts that the settings name. The
/// membership on disk is that of the group's first start, so that a host that replaced another one
/// would never get its vote.
///
/// Thread safety: all methods may be called from any thread.
class ConfiguredMembership {
 public:
  /// Tells whether the group's leader can promote a learner now.
  using PromotionCheck = std::function<bool(const base::HostId&)>;

  explicit ConfiguredMembership(consensus::RaftMembership configured);

  const consensus::RaftMembership& configured() const { return this->configured_members; }

  /// Returns the next change of `current`, or none if it is as configured or has to wait.
  /// Successors get their votes before other hosts lose theirs. So a leader whose settings are
  /// older removes nobody: it can't promote a host that is gone.
  std::optional<consensus::MembershipChange> NextChange(const consensus::RaftMembership& current,
                                                        const PromotionCheck& can_promote) const;

 private:
  consensus::RaftMembership configured_members;
};

}  // namespace sapphirecrank::entryhost
