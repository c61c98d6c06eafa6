#pragma once

#include <string>

#include "base/ids.h"
#include "consensus/raft_membership.h"

namespace sapphirecrank::consensus {

/// One entry of the replicated log.
struct LogEntry {
  enum class Kind {
    /// Carries a command for the state machine.
    kCommand,
    /// Carries a membership of the group. It applies as soon as the entry is in the log, committed
    /// or not.
    kMembership,
    /// Marks the start of a leader's term.
    kNoOperation,
  };

  base::LogIndex index;
  base::Term term;
  Kind kind = Kind::kCommand;
  /// Empty unless `kind` is `kCommand`.
  std::string command;
  /// Empty unless `kind` is `kMembership`.
  RaftMembership membership;

  friend bool operator==(const LogEntry& a, const LogEntry& b) {
    return a.index == b.index && a.term == b.term && a.kind == b.kind && a.command == b.command &&
           a.membership == b.membership;
  }
};

}  // namespace sapphirecrank::consensus
