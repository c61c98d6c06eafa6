#pragma once

#include "base/ids.h"

namespace sapphirecrank::consensus {

/// A membership change. Only one change is in progress at a time.
struct MembershipChange {
  enum class Kind {
    /// Adds a host that replicates the log without voting.
    kAddLearner,
    /// Makes a learner a voter. The learner must have caught up and have durable storage.
    kPromoteLearner,
    /// Removes a voter or a learner.
    kRemoveMember,
    /// Makes a learner a voter in the place of `replaced_voter`, which is removed. Until both steps
    /// of this change are committed, quorums need a majority of the voters before and after it, so
    /// that neither of the two hosts is needed for it. The learner must have caught up and have
    /// durable storage.
    kReplaceVoter,
  };

  Kind kind = Kind::kAddLearner;
  base::HostId host;
  /// Set for `kReplaceVoter` only.
  base::HostId replaced_voter{};
};

}  // namespace sapphirecrank::consensus
