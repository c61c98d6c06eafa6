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

/// Decides whether this entry host accepts work, and counts the accepted tasks until they end.
///
/// Work is refused before any of it is queued, so the verdict "not run" of a refusal always holds.
/// An admitted task is first queued. It then starts, possibly returns to the queue for another
/// attempt, and finally ends. Sharded by team. Thread safety: all methods may be called from any
/// thread.
class AdmissionController {
 public:
  /// Maximum number of queued tasks of one team for each priority class.
  using QueueBounds = std::array<base::TaskCount, base::kPriorityClassCount>;

  /// Callbacks of the controller; all must be set.
  struct Hooks {
    /// Current time.
    base::Clock now;
    /// Called once, with no lock held, when all admitted tasks have ended after `ShutDown`.
    std::function<void()> on_drained;
  };

  /// Precondition: `team_quota` outlives this object.
  AdmissionController(TeamQuota& team_quota, const QueueBounds& queue_bounds, Hooks hooks);

  /// Queues all tasks of the request, or refuses all of them and changes nothing. Errors:
  /// `kShuttingDown` after `ShutDown`, `kDeadlineExceeded` if the deadline has passed, `kTooLarge`
  /// if the request has more tasks than the queue can hold, `kOverloaded` with `retry_after` if the
  /// queue is full, and those of `TeamQuota::Admit`.
  Admission Admit(const AdmissionRequest& request);

  /// Moves tasks from the queue to the started tasks. Precondition: they are queued.
  void OnTasksStarted(const base::TeamId& team, base::PriorityClass priority_class,
                      base::TaskCount task_count);

  /// Moves started tasks back to the queue for another attempt. This is never refused, because
  /// accepted work must not be lost, so these tasks may exceed the bound of the queue.
  void OnTasksRequeued(const base::TeamId& team, base::PriorityClass priority_class,
                       base::TaskCount task_count);

  /// Removes started tasks that have ended. Precondition: they were started.
  void OnTasksEnded(const base::TeamId& team, base::TaskCount task_count);

  /// Removes queued tasks that won't start, for example cancelled ones. Precondition: they are
  /// queued.
  void OnTasksDropped(const base::TeamId& team, base::PriorityClass priority_class,
                      base::TaskCount task_count);

  /// Changes the queue bounds. Tasks that are already queued stay.
  void SetQueueBounds(const QueueBounds& new_queue_bounds);

  /// Refuses all work from now on and calls `on_drained` when all admitted tasks have ended, which
  /// may be during this call.
  void ShutDown();

  /// Returns the number of queued tasks of one team and priority class.
  base::TaskCount QueuedTasks(const base::TeamId& team, base::PriorityClass priority_class);

  /// Returns the number of admitted tasks of all teams that have not ended.
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
  void RemoveTasks(const base::TeamId& team, base::TaskCount task_count,
                   std::optional<base::PriorityClass> queued_class);
  void ReportIfDrained() EXCLUDES(mutex);

  TeamQuota& team_quota;
  Hooks hooks;
  base::Sharded<base::TeamId, Shard> shards;
  base::Mutex mutex;
  bool is_drained_reported GUARDED_BY(mutex) = false;
};

}  // namespace sapphirecrank::limits
