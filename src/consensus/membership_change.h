#pragma once

#include "base/ids.h"

namespace sapphirecrank::consensus {

/// One step of a membership change. Only one step is in progress at a time.
struct MembershipChange {
  enum class Kind {
    /// Adds a host that replicates without voting.
    kAddLearner,
    /// Turns a learner that has caught up and has durable storage into a voter.
    kPromoteLearner,
    kRemoveMember,
  };

  Kind kind = Kind::kAddLearner;
  base::HostId host;
};

}  // namespace sapphirecrank::consensus
