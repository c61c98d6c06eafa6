#pragma once

#include <functional>
#include <map>

#include "base/ids.h"
#include "base/result.h"
#include "configuration/change_outcome.h"
#include "configuration/configuration_change.h"

namespace sapphirecrank::configuration {

/// Proposes changes on the leader and reports the outcome of each once it is committed and applied.
///
/// Thread safety: none; all methods must be called on the thread that runs the group's
/// `RaftNode`.
class ChangeProposer {
 public:
  /// Receives the outcome of a change. An error means that the change was not proposed, that its
  /// log entry was replaced, or that its outcome is unknown on this host.
  using OutcomeCallback = std::function<void(const base::Result<ChangeOutcome>&)>;

  struct Hooks {
    /// Appends a command to the group's log (`RaftNode::Propose`).
    std::function<base::Result<base::LogIndex>(const std::string& command)> propose_command;
    /// Returns the group's current term.
    std::function<base::Term()> current_term;
  };

  explicit ChangeProposer(Hooks hooks);

  /// Proposes a change. `on_outcome` is called once, possibly before this method returns: with the
  /// outcome after a quorum has committed the change, or with `kUnavailable`. The verdict of the
  /// error says whether the change may still be accepted; resending it with the same change id
  /// returns its outcome.
  void Propose(const ConfigurationChange& change, OutcomeCallback on_outcome);

  /// Handles an applied log entry. To be called for each applied command.
  void OnApplied(base::LogIndex index, base::Term term, const ChangeOutcome& outcome);

  /// Handles the loss of leadership. Fails all pending changes with the verdict "may have run",
  /// because their outcome is unknown on this host.
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
