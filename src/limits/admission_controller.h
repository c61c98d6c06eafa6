#pragma once

#include <array>
#include <functional>
#include <optional>
#include <unordered_map>

#include "base/ids.h"
#include "base/mutex.h"
#include "base/priority_class.h"
#include "base/sharded.h"
#include "base/time.h"
#include "base/units.h"
#include "limits/admission_request.h"
#include "limits/drain_time_estimator.h"
#include "limits/refusal.h"
#include "limits/team_quota.h"

namespace sapphirecrank::limits {

/// Decides whether this entry host accepts work, and counts what it accepted until it ends.
///
/// Every refusal is decided before the work is queued anywhere, so its verdict "not run" is true.
/// An admitted task is queued; then it starts, and may be queued again; then it ends. Sharded by
/// team. Thread safety: all methods may be called from any thread.
class AdmissionController {
 public:
  /// Most queued tasks of one team, by class.
  using QueueBounds = std::array<base::TaskCount, base::kPriorityClassCount>;

  /// Behaviour handed in; all members must be set.
  struct Hooks {
    /// Current time.
    base::Clock now;
    /// Called once, without a lock, after `ShutDown` when no admitted task is left.
    std::function<void()> on_drained;
  };

  /// Precondition: `quota` outlives this object.
  AdmissionController(TeamQuota& quota, const QueueBounds& bounds, Hooks hooks);

  /// Accepts all tasks of the request as queued, or refuses all of them and changes nothing.
  Admission Admit(const AdmissionRequest& request);

  /// Moves queued tasks to started. Precondition: they are queued.
  void OnTasksStarted(const base::TeamId& team, base::PriorityClass work_class,
                      base::TaskCount tasks);

  /// Moves started tasks back to the queue, for another attempt. Never refused, because accepted
  /// work is never lost, so the queue may exceed its bound by tasks that were started once.
  void OnTasksRequeued(const base::TeamId& team, base::PriorityClass work_class,
                       base::TaskCount tasks);

  /// Ends started tasks. Precondition: they were started.
  void OnTasksEnded(const base::TeamId& team, base::TaskCount tasks);

  /// Ends queued tasks that will not start, for example cancelled ones.
  void OnTasksDropped(const base::TeamId& team, base::PriorityClass work_class,
                      base::TaskCount tasks);

  /// Changes the bounds; what is queued stays.
  void SetQueueBounds(const QueueBounds& new_bounds);

  /// Refuses all work from now on and calls `drained` when the admitted tasks have ended, which may
  /// be during this call.
  void ShutDown();

  /// Returns the queued tasks of one team and class.
  base::TaskCount QueuedTasks(const base::TeamId& team, base::PriorityClass work_class);

  /// Returns the admitted tasks that have not ended, of all teams.
  base::TaskCount TasksInFlight();

 private:
  struct Queue {
    base::TaskCount length;
    DrainTimeEstimator drain_time_estimator;
  };

  struct Shard {
    std::unordered_map<base::TeamId, std::array<Queue, base::kPriorityClassCount>> queues;
    QueueBounds queue_bounds{};
    base::TaskCount tasks_in_flight;
    bool is_shutting_down = false;
  };

  Admission CheckAcceptingWork(const AdmissionRequest& request);
  static Admission EnqueueTasks(Shard& shard, const AdmissionRequest& request);
  void RemoveTasks(const base::TeamId& team, base::TaskCount tasks,
                   std::optional<base::PriorityClass> from_queue);
  void ReportIfDrained() EXCLUDES(mutex);

  TeamQuota& team_quota;
  Hooks hooks;
  base::Sharded<base::TeamId, Shard> shards;
  base::Mutex mutex;
  bool is_drained_reported GUARDED_BY(mutex) = false;
};

}  // namespace sapphirecrank::limits
