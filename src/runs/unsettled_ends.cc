#include "runs/unsettled_ends.h"

#include <algorithm>

namespace sapphirecrank::runs {

void PendingAcknowledgements::ExpireWithLease(base::Sequence end, base::TimePoint at) {
  if (this->ends.count(end) == 0) {
    return;
  }
  this->lapsing.insert(end);
  this->lapse_at = std::max(this->lapse_at.value_or(at), at);
}

void PendingAcknowledgements::RemoveExpired(base::TimePoint now) {
  if (!this->lapse_at || now < *this->lapse_at) {
    return;
  }
  for (const base::Sequence end : this->lapsing) {
    this->ends.erase(end);
  }
  this->lapsing.clear();
  this->lapse_at.reset();
}

base::Sequence PendingAcknowledgements::LastAcknowledgeableEnd(base::Sequence taken_in) const {
  if (this->ends.empty() || taken_in < *this->ends.begin()) {
    return taken_in;
  }
  return base::Sequence(this->ends.begin()->value() - 1);
}

}  // namespace sapphirecrank::runs
