#pragma once

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "base/ids.h"
#include "base/mutex.h"
#include "base/thread_annotations.h"
#include "base/time.h"
#include "gateway/allocator_capacity.h"
#include "gateway/allocator_choice.h"
#include "gateway/allocator_request.h"
#include "runs/capacity_report.h"

namespace sapphirecrank::gateway {

/// Chooses an allocator for tasks by the capacity that the allocators have reported.
///
/// Allocators report at least every 100 ms. One that has missed two reports is chosen only if there
/// is no other, and after 0.5 s not at all: a host counts as lost only after a second, and jobs
/// that were placed with it in that time can't be served any more.
///
/// Thread safety: all methods may be called from any thread.
class AllocatorSelector {
 public:
  AllocatorSelector(base::DataCentreId data_centre, base::Clock now);

  /// Replaces the capacity known of `allocator` with its report.
  void OnCapacityReport(const base::HostId& allocator, const runs::CapacityReport& report);
  /// Removes the report of a lost allocator, so that it isn't chosen any more.
  void OnAllocatorLost(const base::HostId& allocator);

  /// Returns the allocator for the tasks of `request`, or none if no allocator can take them. The
  /// tasks are subtracted from its free capacity until its next report.
  std::optional<AllocatorChoice> ChooseAllocator(const AllocatorRequest& request);

  /// As `ChooseAllocator`, but leaves out allocators whose backlog (waiting tasks ahead minus free
  /// task capacity) reaches their total task capacity, or where the tasks that can only use the
  /// same part of the capacity fill that part. Chooses one of `avoided` only if there is no other
  /// one. For tasks that can be placed later if there is no other allocator.
  std::optional<base::HostId> ChooseAllocatorWithoutFullBacklog(
      const base::ServiceId& service, base::TaskCount count,
      const runs::TaskRequirements& requirements, const std::set<base::HostId>& avoided);

  /// Returns how long `count` tasks of this priority would wait at the allocator where they would
  /// wait least, by the reported backlogs and the rate at which capacity comes free. Returns none
  /// if no allocator could take them, and zero if the rate is unknown.
  std::optional<base::Duration> ExpectedWait(const base::ServiceId& service, base::TaskCount count,
                                             const runs::TaskRequirements& requirements,
                                             base::Priority priority);

  /// Returns the recently reported capacity of all allocators that take tasks, for each service.
  std::vector<AllocatorCapacity> RecentCapacities();

  /// Returns whether any allocator has reported its capacity and was not lost since.
  bool HasReports();

  /// Returns whether this allocator has reported its capacity and was not lost since. Another kind
  /// of host may use the address of an allocator that is gone.
  bool HasReportOf(const base::HostId& allocator);

 private:
  /// `maximum_backlog` is an exclusive limit, as a share of the allocator's total task capacity.
  /// Without it, the backlog doesn't matter.
  std::optional<AllocatorChoice> ChooseAllocatorBelowBacklog(const AllocatorRequest& request,
                                                             std::optional<double> maximum_backlog);

  struct Placement {
    base::ServiceId service;
    base::TaskCount count;
    runs::TaskRequirements requirements;
    base::TimePoint placed_at;
  };
  struct ReceivedReport {
    runs::CapacityReport report;
    base::TimePoint received_at;
    /// The last placements with this allocator, the oldest first.
    std::deque<Placement> placements;
  };

  /// An allocator that can take the tasks of a request.
  struct Option {
    base::HostId allocator;
    runs::CapacityReport::ServiceCapacity* capacity = nullptr;
    bool has_free_capacity = false;
    /// Waiting tasks ahead minus free task capacity.
    base::TaskCount backlog;
    /// `backlog` as a share of the total task capacity.
    double backlog_share = 0;
  };

  /// Chooses one of several options that differ in their free capacity or backlog only.
  static const Option& ChooseOption(const std::vector<Option>& options,
                                    const AllocatorRequest& request);

  /// Returns whether tasks of `service` may be placed by this part of a report.
  static bool CanTakeTasks(const ReceivedReport& received,
                           const runs::CapacityReport::ServiceCapacity& capacity,
                           const base::ServiceId& service, base::TimePoint now);

  base::DataCentreId data_centre;
  base::Clock now;
  base::Mutex mutex;
  std::map<base::HostId, ReceivedReport> capacity_reports GUARDED_BY(mutex);
};

}  // namespace sapphirecrank::gateway
