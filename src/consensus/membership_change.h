#pragma once

#include "base/ids.h"

namespace sapphirecrank::consensus {

/// A single-step membership change. Only one change is in progress at a time.
struct MembershipChange {
  enum class Kind {
    /// Adds a host that replicates the log without voting.
    kAddLearner,
    /// Makes a voter of a learner that has caught up and has durable storage.
    kPromoteLearner,
    /// Removes a voter or a learner.
    kRemoveMember,
  };

  Kind kind = Kind::kAddLearner;
  base::HostId host;
};

}  // namespace sapphirecrank::consensus
