#pragma once

#include <map>
#include <optional>

#include "base/ids.h"
#include "base/mutex.h"
#include "base/thread_annotations.h"
#include "base/time.h"
#include "runs/capacity_report.h"

namespace sapphirecrank::gateway {

/// What the allocators have said they can start, and the choice among them.
///
/// Thread safety: all methods may be called from any thread.
class AllocatorSelector {
 public:
  explicit AllocatorSelector(base::DataCentreId data_centre);

  void OnCapacityReport(const base::HostId& allocator, const runs::CapacityReport& report);
  void OnAllocatorLost(const base::HostId& allocator);

  /// Returns where to place `count` tasks, or none if no allocator has targets of the service. The
  /// room is taken off until the allocator's next report.
  std::optional<base::HostId> ChooseAllocator(const base::ServiceId& service,
                                              base::TaskCount count);

  /// As `Choose`, but none if all allocators have more tasks waiting than fit on their targets at
  /// once: for work that can wait for a better choice.
  std::optional<base::HostId> ChooseAllocatorWithoutFullBacklog(const base::ServiceId& service,
                                                                base::TaskCount count);

  /// Tells whether any allocator has reported.
  bool HasReports();

 private:
  std::optional<base::HostId> ChooseAllocatorBelowBacklog(const base::ServiceId& service,
                                                          base::TaskCount count,
                                                          double most_backlog);

  base::DataCentreId data_centre;
  base::Mutex mutex;
  std::map<base::HostId, runs::CapacityReport> capacity_reports GUARDED_BY(mutex);
};

}  // namespace sapphirecrank::gateway
