#pragma once

#include <optional>
#include <set>

#include "base/ids.h"
#include "base/time.h"

namespace sapphirecrank::runs {

/// Ends of stored jobs' runs that a target lists and that it must not be told are known yet.
///
/// Thread safety: none.
class PendingAcknowledgements {
 public:
  /// Adds an end that the keeper of its job is told of.
  void Add(base::SequenceNumber end) { this->unacknowledged_ends.insert(end); }

  /// Takes note that the keeper knows the end.
  void MarkDurable(base::SequenceNumber end) { this->unacknowledged_ends.erase(end); }

  /// Takes note that the end came too late to count. It is settled at `lease_expires_at`, when the
  /// target's lease has ended, which makes it void.
  void ExpireWithLease(base::SequenceNumber end, base::TimePoint lapse_at);

  /// Tells whether the target's lease must not be extended.
  bool IsAwaitingLeaseExpiry() const { return this->lease_expires_at.has_value(); }

  /// Settles what has lapsed by now.
  void RemoveExpired(base::TimePoint now);

  /// Returns up to which end the target may be told that all are known, if `last_processed_end` was
  /// read.
  base::SequenceNumber LastAcknowledgeableEnd(base::SequenceNumber taken_in) const;

 private:
  std::set<base::SequenceNumber> unacknowledged_ends;
  std::set<base::SequenceNumber> expiring_ends;
  std::optional<base::TimePoint> lease_expires_at;
};

}  // namespace sapphirecrank::runs
