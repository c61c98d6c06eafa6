#include "runs/pending_acknowledgements.h"

#include <algorithm>

namespace sapphirecrank::runs {

void PendingAcknowledgements::ExpireWithLease(base::SequenceNumber end,
                                              base::TimePoint expires_at) {
  if (this->unacknowledged_ends.count(end) == 0) {
    return;
  }
  this->expiring_ends.insert(end);
  this->lease_expires_at = std::max(this->lease_expires_at.value_or(expires_at), expires_at);
}

void PendingAcknowledgements::RemoveExpired(base::TimePoint now) {
  if (!this->lease_expires_at || now < *this->lease_expires_at) {
    return;
  }
  for (const base::SequenceNumber end : this->expiring_ends) {
    this->unacknowledged_ends.erase(end);
  }
  this->expiring_ends.clear();
  this->lease_expires_at.reset();
}

base::SequenceNumber PendingAcknowledgements::LastAcknowledgeableEnd(
    base::SequenceNumber last_processed_end) const {
  if (this->unacknowledged_ends.empty() ||
      last_processed_end < *this->unacknowledged_ends.begin()) {
    return last_processed_end;
  }
  return base::SequenceNumber(this->unacknowledged_ends.begin()->value() - 1);
}

}  // namespace sapphirecrank::runs
