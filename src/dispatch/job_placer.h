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

/// Places the tasks that a `jobs::JobCoordinator` starts on entry hosts, and returns their ends.
///
/// Thread safety: all methods may be called from any thread; hooks run with no lock held.
class JobPlacer {
 public:
  /// Behaviour handed in; all members must be set.
  struct Hooks {
    /// Loads of the entry hosts that may get work, the own one first.
    std::function<std::vector<HostLoad>(base::TargetKind)> host_loads;
    /// Hands tasks to a host (also the own one). False means that they were surely not handed over.
    std::function<bool(const base::HostId&, const std::vector<Assignment>&)> assign_tasks;
    /// Asks a host to drop the queued tasks of a submission.
    std::function<void(const base::HostId&, const base::SubmissionId&)> cancel_submission;
    /// Takes the end of a placement.
    std::function<void(const jobs::TaskReport&)> on_task_ended;
  };

  explicit JobPlacer(Hooks hooks);

  /// Places each task once. Tasks that no host takes end as "not run".
  void PlaceTasks(const std::vector<jobs::TaskStart>& starts);

  /// Asks the hosts of the tasks to drop what is queued.
  void CancelTasks(const std::vector<jobs::TaskStart>& starts);

  /// Takes a report from `host`. False if it isn't about a placement that is open there.
  bool OnReport(const base::HostId& host, const TaskReport& report);

  /// Ends the placements on `host` as "may have run".
  void OnHostLost(const base::HostId& host);

 private:
  struct Placement {
    base::HostId host;
    base::PlacementNumber number;
    base::Epoch epoch;
  };

  using Shard = std::unordered_map<base::TaskKey, Placement>;

  bool TakePlacement(const base::HostId& host, const base::TaskKey& key,
                     base::PlacementNumber number, Placement& taken);
  void ReportNotRun(const base::HostId& host, const std::vector<Assignment>& tasks,
                    const base::Error& error);

  Hooks hooks;
  base::Sharded<base::TaskKey, Shard> shards;
};

}  // namespace sapphirecrank::dispatch
