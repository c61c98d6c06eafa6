#include "configuration/change_outcome_history.h"

namespace sapphirecrank::configuration {

const ChangeOutcome* ChangeOutcomeHistory::FindOutcome(const base::ChangeId& id) const {
  auto found = this->outcomes.find(id);
  return found == this->outcomes.end() ? nullptr : &found->second;
}

void ChangeOutcomeHistory::AddOutcome(const base::ChangeId& id, const ChangeOutcome& outcome) {
  if (!this->outcomes.emplace(id, outcome).second) {
    return;
  }
  this->insertion_order.push_back(id);
  if (this->insertion_order.size() > kCapacity) {
    this->outcomes.erase(this->insertion_order.front());
    this->insertion_order.pop_front();
  }
}

}  // namespace sapphirecrank::configuration
