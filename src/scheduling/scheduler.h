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

/// Decides which queued task starts when on which of this host's targets.
///
/// State is sharded by target kind, each shard under its own lock. Hooks run after the lock is
/// released, on the thread that made the change. Thread safety: all methods may be called from any
/// thread, also from a hook.
class Scheduler {
 public:
  /// Behaviour handed in; all members must be set.
  struct Hooks {
    /// Current time.
    base::Clock now;
    /// Called once for each decision. The callee starts the task and later calls `OnTaskEnded`.
    std::function<void(const StartDecision&)> start_task;
    /// Called once for each queued task that will not start.
    std::function<void(const TaskRefusal&)> on_task_refused;
  };

  /// Creates a scheduler without targets.
  explicit Scheduler(Hooks hooks, const SchedulerSettings& settings = SchedulerSettings());

  /// Queues a task or refuses it at once with "not run" (then no hook is called for it).
  /// Precondition: no task with this key is queued or running here; otherwise the error is
  /// `kConflict` with "may have run".
  base::Result<void> Enqueue(const TaskSpec& task);

  /// Queues all tasks or refuses all with "not run", as a job is worthless without the rest of its
  /// tasks. Otherwise as `Enqueue`. Precondition: all tasks have the same target kind.
  base::Result<void> EnqueueAll(const std::vector<TaskSpec>& tasks);

  /// Adds a target or renews what is known of it.
  void UpdateTarget(const TargetState& target);

  /// Forgets a target; its running tasks still end through `OnTaskEnded`.
  void RemoveTarget(const base::TargetId& target);

  /// Releases the slot of a started task. Precondition: `start` was called for the pair; a pair
  /// that isn't running is ignored.
  void OnTaskEnded(const base::TaskKey& task, const base::TargetId& target,
                   const TaskOutcome& outcome);

  /// Drops the queued tasks of a submission and returns their keys; no hook is called for them.
  std::vector<base::TaskKey> CancelSubmission(const base::SubmissionId& submission);

  /// Drops the queued tasks of a team and returns their keys; no hook is called for them.
  std::vector<base::TaskKey> CancelTeam(const base::TeamId& team);

  /// Sets a team's share of contended slots in relation to other teams; 1 at first. Precondition:
  /// `weight` > 0.
  void SetTeamWeight(const base::TeamId& team, base::Weight weight);

  /// Sets which automatic actions may be taken. Switching ejection off returns ejected targets.
  void SetAutomaticActions(const limits::AutomaticActions& actions);

  /// Refuses tasks that can't make their deadline any more and starts what has become startable
  /// by the passage of time. To be called every few milliseconds.
  void Tick();

  /// Returns the load of one kind of targets.
  LoadSummary LoadOfKind(base::TargetKind kind);

  /// Returns the counters of all kinds of targets together.
  SchedulerStatus Status();

 private:
  base::Result<void> Enqueue(const TaskSpec* tasks, size_t count);
  static size_t ShardIndex(base::TargetKind kind);
  void ApplyEffects(const Effects& effects) const;

  Hooks hooks;
  base::Sharded<size_t, SchedulerShard> shards;
};

}  // namespace sapphirecrank::scheduling
