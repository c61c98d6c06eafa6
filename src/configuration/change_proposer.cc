#include "configuration/change_proposer.h"

#include <utility>

#include "configuration/configuration_codec.h"

namespace sapphirecrank::configuration {

using base::ErrorCode;

ChangeProposer::ChangeProposer(Hooks hooks) : hooks(std::move(hooks)) {}

void ChangeProposer::Propose(const ConfigurationChange& change, OutcomeCallback on_outcome) {
  auto index = this->hooks.propose_command(ConfigurationCodec::EncodeChange(change));
  if (!index) {
    on_outcome(tl::make_unexpected(index.error()));
    return;
  }
  this->pending_changes[*index] = PendingChange{this->hooks.current_term(), std::move(on_outcome)};
}

void ChangeProposer::OnApplied(base::LogIndex index, base::Term term,
                               const ChangeOutcome& outcome) {
  auto found = this->pending_changes.find(index);
  if (found == this->pending_changes.end()) {
    return;
  }
  PendingChange pending = std::move(found->second);
  this->pending_changes.erase(found);
  if (pending.term == term) {
    pending.on_outcome(outcome);
    return;
  }
  // Another leader's entry has this index, so the change can't be committed any more.
  pending.on_outcome(base::MakeErrorResult(ErrorCode::kUnavailable,
                                           "another leader replaced the log entry of the change"));
}

void ChangeProposer::OnLeadershipLost() {
  std::map<base::LogIndex, PendingChange> lost_changes = std::exchange(this->pending_changes, {});
  for (auto& [index, pending] : lost_changes) {
    pending.on_outcome(base::MakeErrorResult(ErrorCode::kUnavailable,
                                             "leadership was lost; resend with the same change id",
                                             "", base::ExecutionVerdict::kMayHaveRun));
  }
}

}  // namespace sapphirecrank::configuration
