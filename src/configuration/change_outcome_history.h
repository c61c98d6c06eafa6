#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <utility>

#include "base/ids.h"
#include "configuration/change_outcome.h"

namespace sapphirecrank::configuration {

/// The outcomes of the latest changes by change id, so that a resend gets the first one.
///
/// A resend that comes after its id was forgotten gets a conflict, because its expected version is
/// over; it is never applied a second time. Thread safety: none.
class ChangeOutcomeHistory {
 public:
  /// 2.5 hours of changes at 96,000 a day.
  static constexpr size_t kCapacity = 10'000;

  /// Returns the first outcome of a change, or null if it isn't known.
  const ChangeOutcome* FindOutcome(const base::ChangeId& id) const;

  /// Remembers an outcome and forgets the oldest one beyond the capacity.
  void AddOutcome(const base::ChangeId& id, const ChangeOutcome& outcome);

  /// Returns the ids, oldest first.
  const std::deque<base::ChangeId>& ids_oldest_first() const { return this->insertion_order; }

 private:
  std::map<base::ChangeId, ChangeOutcome> outcomes;
  std::deque<base::ChangeId> insertion_order;
};

}  // namespace sapphirecrank::configuration
