#pragma once

#include <string>

#include "base/ids.h"
#include "consensus/raft_membership.h"

namespace sapphirecrank::consensus {

/// One entry of the replicated log.
struct LogEntry {
  enum class Kind {
    /// Carries a command of the state machine.
    kCommand,
    /// Carries the group's membership, which holds from the moment the entry is in the log.
    kMembership,
    /// Starts a leader's term.
    kNoOperation,
  };

  base::LogIndex index;
  base::Term term;
  Kind kind = Kind::kCommand;
  std::string command;
  RaftMembership membership;

  friend bool operator==(const LogEntry& a, const LogEntry& b) {
    return a.index == b.index && a.term == b.term && a.kind == b.kind && a.command == b.command &&
           a.membership == b.membership;
  }
};

}  // namespace sapphirecrank::consensus
