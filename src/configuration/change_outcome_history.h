#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <utility>

#include "base/ids.h"
#include "configuration/change_outcome.h"

namespace sapphirecrank::configuration {

/// The outcomes of the latest changes by change id, so that a resent change gets its first outcome.
///
/// An accepted change that is resent after its id was removed gets a conflict, because its expected
/// version has passed; it is never applied a second time. Thread safety: none.
class ChangeOutcomeHistory {
 public:
  /// Maximum number of outcomes: 2.5 hours of changes at 96,000 changes a day.
  static constexpr size_t kCapacity = 10'000;

  /// Returns the first outcome of a change, or null if the history doesn't have it. The pointer is
  /// valid until the next call of `AddOutcome`.
  const ChangeOutcome* FindOutcome(const base::ChangeId& id) const;

  /// Adds the outcome of a change unless the history has one for this id. Removes the oldest
  /// outcome beyond the capacity.
  void AddOutcome(const base::ChangeId& id, const ChangeOutcome& outcome);

  /// Returns the change ids, oldest first.
  const std::deque<base::ChangeId>& ids_oldest_first() const { return this->insertion_order; }

 private:
  std::map<base::ChangeId, ChangeOutcome> outcomes;
  std::deque<base::ChangeId> insertion_order;
};

}  // namespace sapphirecrank::configuration
