#pragma once

#include <atomic>
#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/ids.h"
#include "base/sharded.h"
#include "base/task_key.h"
#include "base/time.h"
#include "dispatch/assignment.h"
#include "dispatch/target_call.h"
#include "dispatch/target_response.h"
#include "dispatch/task_report.h"
#include "scheduling/scheduler.h"
#include "targets/target_registry.h"

namespace sapphirecrank::dispatch {

/// Queues assigned tasks and starts them on the targets that this entry host owns.
///
/// Reports each accepted placement exactly once to the host that assigned it. Thread safety: all
/// methods may be called from any thread; hooks other than `now` and `usable_from` run with no lock
/// held.
class Dispatcher {
 public:
  /// Callbacks of the dispatcher; all must be set unless said otherwise.
  struct Hooks {
    /// Current time.
    base::Clock now;
    /// See `targets::TargetRegistry::Hooks::usable_from`.
    std::function<base::TimePoint(const base::TargetId&)> usable_from;
    /// Returns whether this host may start work on a target now.
    std::function<bool(const base::TargetId&)> may_start_on_target;
    /// Calls a target. Must call the second argument with the response exactly once, on any thread.
    std::function<void(const TargetCall&, std::function<void(const TargetResponse&)>)> call_target;
    /// Sends a report to the host that assigned the task.
    std::function<void(const base::HostId&, const TaskReport&)> send_report;
    /// Called for each start decision of the scheduler, also if this host then refuses the start,
    /// with the time that the task waited here; may be empty.
    std::function<void(const scheduling::TaskSpec&, base::Duration)> on_start_decision;
  };

  /// Each attempt id begins with `own_attempt_prefix`, which must be different for each start of a
  /// process.
  Dispatcher(const std::string& own_attempt_prefix, Hooks hooks);

  /// Queues the tasks that `origin_host` assigned. All tasks of one target kind are queued or
  /// refused together; refused ones are reported with the verdict "not run". An assignment of a
  /// task that is already pending here is ignored.
  void AssignTasks(const base::HostId& origin_host, std::vector<Assignment> assignments);

  /// Drops the queued tasks of a submission and reports them with the verdict "not run". Running
  /// tasks continue.
  void CancelSubmission(const base::SubmissionId& submission);

  /// Processes an announcement of a target that this host owns.
  void OnAnnouncement(const targets::TargetAnnouncement& announcement);

  /// Removes the targets for which `is_owned` returns false, after an ownership change. Their
  /// running tasks are still reported.
  void RetainTargets(const std::function<bool(const base::TargetId&)>& is_owned);

  /// Processes expired deadlines and leases. Must be called every few milliseconds.
  void Tick();

  /// Returns the load of the owned targets of one kind.
  scheduling::LoadSummary LoadOfKind(base::TargetKind kind);

  /// Returns the newest announcement of each target that this host owns.
  std::vector<targets::TargetAnnouncement> OwnedTargets();

  /// Returns the number of assigned tasks that have not been reported yet.
  base::TaskCount TasksInFlight() const;

 private:
  struct PendingTask {
    base::HostId origin_host;
    Assignment assignment;
    base::TimePoint queued_at;
  };

  using Shard = std::unordered_map<base::TaskKey, PendingTask>;

  /// Records a task until it is reported. Returns false if the task is already recorded.
  bool AddPendingTask(const base::HostId& origin_host, Assignment assignment);
  void StartTask(const scheduling::StartDecision& decision);
  void OnTargetResponse(const scheduling::StartDecision& decision, const base::AttemptId& attempt,
                        base::TimePoint started_at, TargetResponse response);
  void ReportTask(const base::TaskKey& key, const TargetResponse& response);
  base::AttemptId NextAttemptId();

  std::string own_attempt_prefix;
  Hooks hooks;
  base::Sharded<base::TaskKey, Shard> pending_tasks;
  std::atomic<uint64_t> next_attempt_number{1};
  std::atomic<int64_t> tasks_in_flight{0};
  targets::TargetRegistry target_registry;
  scheduling::Scheduler scheduler;
};

}  // namespace sapphirecrank::dispatch
