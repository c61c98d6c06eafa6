#pragma once

#include <optional>

#include "base/ids.h"
#include "base/units.h"
#include "runs/capacity_report.h"
#include "runs/task_requirements.h"

namespace sapphirecrank::gateway {

/// What the tasks that wait at an allocator mean for further tasks with certain requirements.
///
/// Waiting tasks hold back others only as far as they would use the same capacity: those that can
/// use a part of the capacity only hold back as many tasks as that part holds, except tasks that
/// can use no other part.
///
/// Thread safety: none.
class Backlog {
 public:
  /// Precondition: both references outlive this object.
  Backlog(const runs::CapacityReport::ServiceCapacity& capacity,
          const runs::TaskRequirements& requirements);

  /// Returns the number of waiting tasks that go before further ones with the given priority, or
  /// with any priority if it is empty.
  base::TaskCount TasksAhead(std::optional<base::Priority> priority) const;

  /// Tells whether `count` tasks would start at once, by the reported counts.
  bool HasFreeCapacity(base::TaskCount count) const;

  /// Tells whether so many tasks wait for the capacity that these tasks can use that it holds no
  /// more at once.
  bool IsFull() const;

  /// Records in `capacity` that `count` tasks with these requirements were placed since the report.
  static void RecordPlacement(runs::CapacityReport::ServiceCapacity& capacity,
                              const runs::TaskRequirements& requirements, base::TaskCount count);

 private:
  const runs::CapacityReport::ServiceCapacity& capacity;
  const runs::TaskRequirements& requirements;
};

}  // namespace sapphirecrank::gateway
