#pragma once

#include "base/ids.h"

namespace sapphirecrank::consensus {

/// A single-step membership change. Only one change is in progress at a time.
struct MembershipChange {
  enum class Kind {
    /// Adds a host that replicates the log without voting.
    kAddLearner,
    /// Makes a learner a voter. The learner must have caught up and have durable storage.
    kPromoteLearner,
    /// Removes a voter or a learner.
    kRemoveMember,
  };

  Kind kind = Kind::kAddLearner;
  base::HostId host;
};

}  // namespace sapphirecrank::consensus
