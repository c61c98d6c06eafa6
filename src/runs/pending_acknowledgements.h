#pragma once

#include <optional>
#include <set>

#include "base/ids.h"
#include "base/time.h"

namespace sapphirecrank::runs {

/// Finished runs of stored jobs that a target lists and that must not be acknowledged to it yet,
/// because their ends aren't durable or came too late to count. Runs are identified by the sequence
/// numbers of their ends in the target's list.
///
/// Thread safety: none.
class PendingAcknowledgements {
 public:
  /// Adds an end that has been reported to the stored job manager.
  void Add(base::SequenceNumber end) { this->unacknowledged_ends.insert(end); }

  /// Records that the stored job manager has made the end durable, so that it may be acknowledged.
  void MarkDurable(base::SequenceNumber end) { this->unacknowledged_ends.erase(end); }

  /// Records that the end came too late to count. It may be acknowledged only after the target's
  /// lease has expired at `expires_at`; before that, an acknowledged end would count. Ends that
  /// aren't pending are ignored.
  void ExpireWithLease(base::SequenceNumber end, base::TimePoint expires_at);

  /// Returns whether an end waits for the target's lease to expire; the lease must not be extended
  /// then.
  bool IsAwaitingLeaseExpiry() const { return this->lease_expires_at.has_value(); }

  /// Removes the ends that waited for the target's lease if it has expired by `now`.
  void RemoveExpired(base::TimePoint now);

  /// Returns the last end up to which all ends may be acknowledged to the target; at most
  /// `last_processed_end`.
  base::SequenceNumber LastAcknowledgeableEnd(base::SequenceNumber last_processed_end) const;

 private:
  std::set<base::SequenceNumber> unacknowledged_ends;
  std::set<base::SequenceNumber> expiring_ends;
  std::optional<base::TimePoint> lease_expires_at;
};

}  // namespace sapphirecrank::runs
