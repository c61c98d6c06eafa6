#pragma once

#include <functional>
#include <unordered_map>
#include <vector>

#include "base/ids.h"
#include "base/sharded.h"
#include "base/time.h"
#include "dispatch/assignment.h"
#include "dispatch/host_load.h"
#include "dispatch/task_report.h"
#include "jobs/task_report.h"
#include "jobs/task_start.h"

namespace sapphirecrank::dispatch {

/// Places on entry hosts the tasks that a `jobs::JobCoordinator` starts, and passes the reports on
/// them back to it.
///
/// Thread safety: all methods may be called from any thread; hooks run with no lock held.
class JobPlacer {
 public:
  /// Callbacks of the placer; all must be set.
  struct Hooks {
    /// Returns the loads of the entry hosts that may get work, the own host first.
    std::function<std::vector<HostLoad>(base::TargetKind)> host_loads;
    /// Assigns tasks to a host, which may be the own one. Returns false only if the tasks were
    /// certainly not sent.
    std::function<bool(const base::HostId&, const std::vector<Assignment>&)> assign_tasks;
    /// Asks a host to drop the queued tasks of a submission.
    std::function<void(const base::HostId&, const base::SubmissionId&)> cancel_submission;
    /// Called with the report that ends a placement.
    std::function<void(const jobs::TaskReport&)> on_task_ended;
  };

  /// Creates a placer without placements.
  explicit JobPlacer(Hooks hooks);

  /// Places each task once. A task that can't be placed ends with the verdict "not run".
  void PlaceTasks(const std::vector<jobs::TaskStart>& starts);

  /// Asks the host of each task to drop all queued tasks of the task's submission.
  void CancelTasks(const std::vector<jobs::TaskStart>& starts);

  /// Processes a report from `host`. Returns false if it is not about an open placement on that
  /// host.
  bool OnReport(const base::HostId& host, const TaskReport& report);

  /// Ends the open placements on `host` with the verdict "may have run".
  void OnHostLost(const base::HostId& host);

 private:
  struct Placement {
    base::HostId host;
    base::PlacementNumber number;
    base::Epoch epoch;
  };

  using Shard = std::unordered_map<base::TaskKey, Placement>;

  bool TakePlacement(const base::HostId& host, const base::TaskKey& key,
                     base::PlacementNumber placement_number, Placement& placement);
  void ReportNotRun(const base::HostId& host, const std::vector<Assignment>& assignments,
                    const base::Error& error);

  Hooks hooks;
  base::Sharded<base::TaskKey, Shard> shards;
};

}  // namespace sapphirecrank::dispatch
