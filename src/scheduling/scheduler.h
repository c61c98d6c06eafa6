#pragma once

#include <cstddef>
#include <functional>
#include <vector>

#include "base/ids.h"
#include "base/result.h"
#include "base/sharded.h"
#include "base/target_kind.h"
#include "base/time.h"
#include "base/units.h"
#include "limits/automatic_actions.h"
#include "scheduling/effects.h"
#include "scheduling/load_summary.h"
#include "scheduling/scheduler_settings.h"
#include "scheduling/scheduler_shard.h"
#include "scheduling/scheduler_status.h"
#include "scheduling/start_decision.h"
#include "scheduling/target_state.h"
#include "scheduling/task_outcome.h"
#include "scheduling/task_refusal.h"
#include "scheduling/task_spec.h"

namespace sapphirecrank::scheduling {

/// Decides when each queued task starts, and on which of this host's targets.
///
/// The state is sharded by target kind; each shard has its own lock. Hooks are called on the thread
/// that made the change, after the lock is released. Thread safety: all methods may be called from
/// any thread, also from a hook.
class Scheduler {
 public:
  /// Callbacks of the scheduler. Precondition: all members are set.
  struct Hooks {
    /// Returns the current time.
    base::Clock now;
    /// Called once for each start decision. The callee starts the task and calls `OnTaskEnded` when
    /// it has ended.
    std::function<void(const StartDecision&)> start_task;
    /// Called once for each queued task that is refused because it can no longer meet its
    /// deadline.
    std::function<void(const TaskRefusal&)> on_task_refused;
  };

  /// Creates a scheduler without targets or tasks.
  explicit Scheduler(Hooks hooks, const SchedulerSettings& settings = SchedulerSettings());

  /// Queues a task, or returns an error with the verdict `kNotRun`; no hook is called for a
  /// task for which an error is returned. Errors: `kDeadlineExceeded` if the task can't meet its
  /// deadline, `kUnsatisfiable` if no known target could ever fit it, `kOverloaded` if a queue is
  /// full or its expected wait too long. If a task with this key is already queued or running, the
  /// error is `kConflict` with the verdict `kMayHaveRun`.
  base::Result<void> Enqueue(const TaskSpec& task);

  /// Queues all tasks or refuses all of them, because a job needs each of its tasks. The error is
  /// that of the first task that is refused; see `Enqueue`. Precondition: all tasks have the same
  /// target kind.
  base::Result<void> EnqueueAll(const std::vector<TaskSpec>& tasks);

  /// Adds a target, or replaces the state of a known one.
  void UpdateTarget(const TargetState& target);

  /// Removes a target; no further task starts on it. `OnTaskEnded` must still be called for its
  /// running tasks.
  void RemoveTarget(const base::TargetId& target);

  /// Releases the slot and resources of a task that ended. Ignored if the task isn't running on
  /// this target.
  void OnTaskEnded(const base::TaskKey& task, const base::TargetId& target,
                   const TaskOutcome& outcome);

  /// Removes the queued tasks of a submission and returns their keys; no hook is called for them.
  /// Running tasks continue.
  std::vector<base::TaskKey> CancelSubmission(const base::SubmissionId& submission);

  /// Removes the queued tasks of a team and returns their keys; no hook is called for them. Running
  /// tasks continue.
  std::vector<base::TaskKey> CancelTeam(const base::TeamId& team);

  /// Sets a team's weight, which is 1 by default. Teams that compete for slots get them in
  /// proportion to their weights. Precondition: `weight` > 0.
  void SetTeamWeight(const base::TeamId& team, base::Weight weight);

  /// Enables or disables automatic actions. Disabling ejection makes ejected targets usable again.
  void SetAutomaticActions(const limits::AutomaticActions& actions);

  /// Refuses tasks that can no longer meet their deadline, and starts those that may start now that
  /// time has passed. To be called every few milliseconds.
  void Tick();

  /// Returns the load of the targets of one kind.
  LoadSummary LoadOfKind(base::TargetKind kind);

  /// Returns the counters, summed over all target kinds.
  SchedulerStatus Status();

 private:
  base::Result<void> Enqueue(const TaskSpec* tasks, size_t count);
  static size_t ShardIndex(base::TargetKind kind);
  void ApplyEffects(const Effects& effects) const;

  Hooks hooks;
  base::Sharded<size_t, SchedulerShard> shards;
};

}  // namespace sapphirecrank::scheduling
