#pragma once

#include <map>
#include <optional>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "runs/batch_key.h"
#include "runs/capacity_reservation.h"
#include "runs/leased_target.h"
#include "runs/placed_batch.h"
#include "runs/queue_position.h"

namespace sapphirecrank::runs {

/// Decides which targets are kept free for a batch that waits for more than any target has free.
/// There is one reservation at a time, for the earliest such batch in the queue.
///
/// Thread safety: none.
class CapacityReserver {
 public:
  /// Returns the present reservation, if there is one. Thread safety: pure.
  const std::optional<CapacityReservation>& reservation() const { return this->current; }

  /// Tells whether a target is reserved for a batch before `position` in the queue. Thread safety:
  /// pure, as for the two methods below.
  bool IsReservedForEarlierBatch(const base::TargetId& target, const QueuePosition& position) const;

  /// Tells whether targets are reserved for `batch`.
  bool IsReservedFor(const BatchKey& batch) const;

  /// Tells whether `Reserve` may replace the present reservation, or the lack of one, by one for
  /// `placed`.
  bool MayReserveFor(const PlacedBatch& placed, base::TimePoint now) const;

  /// Reserves some of `usable_targets`, which are those that can start runs now, for the waiting
  /// tasks of `placed`. Changes nothing if none of them becomes free for a task soon. `batches` are
  /// all batches with runs on these targets. Precondition: `MayReserveFor` returns true.
  void Reserve(const PlacedBatch& placed, const std::vector<const LeasedTarget*>& usable_targets,
               const std::map<BatchKey, PlacedBatch>& batches, base::TimePoint now);

  /// Ends the reservation, if there is one.
  void End() { this->current.reset(); }

  /// Ends the reservation if it has lasted for its maximum time. `placed`, the batch that it is
  /// for, gets none for a while then. Returns the number of targets that were reserved, 0 if the
  /// reservation goes on. Precondition: there is a reservation.
  size_t EndIfOverdue(PlacedBatch& placed, base::TimePoint now);

 private:
  std::optional<CapacityReservation> current;
};

}  // namespace sapphirecrank::runs
