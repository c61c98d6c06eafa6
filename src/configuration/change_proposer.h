#pragma once

#include <functional>
#include <map>

#include "base/ids.h"
#include "base/result.h"
#include "configuration/change_outcome.h"
#include "configuration/configuration_change.h"

namespace sapphirecrank::configuration {

/// Waits on the leader until proposed changes are committed and applied, and answers each once.
///
/// Thread safety: none; it belongs to the thread that drives the group's `RaftNode`.
class ChangeProposer {
 public:
  using OutcomeCallback = std::function<void(const base::Result<ChangeOutcome>&)>;

  struct Hooks {
    /// Appends a command to the group's log (`RaftNode::Propose`).
    std::function<base::Result<base::LogIndex>(const std::string& command)> propose_command;
    /// Returns the group's current term.
    std::function<base::Term()> current_term;
  };

  explicit ChangeProposer(Hooks hooks);

  /// Proposes a change. `on_outcome` is called once: with the outcome after a quorum has committed
  /// the change, or with `kUnavailable`. The error's verdict says whether the change may still be
  /// accepted; a resend with the same change id tells.
  void Propose(const ConfigurationChange& change, OutcomeCallback on_outcome);

  /// Reports an applied entry and its outcome.
  void OnApplied(base::LogIndex index, base::Term term, const ChangeOutcome& outcome);

  /// Reports that this host leads no longer: the outcome of what is pending is unknown here.
  void OnLeadershipLost();

 private:
  struct PendingChange {
    base::Term term;
    OutcomeCallback on_outcome;
  };

  Hooks hooks;
  std::map<base::LogIndex, PendingChange> pending_changes;
};

}  // namespace sapphirecrank::configuration
