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

/// Runs assigned tasks on the targets that this entry host owns.
///
/// Each accepted placement is reported exactly once to its origin. Thread safety: all methods may
/// be called from any thread; hooks run with no lock held.
class Dispatcher {
 public:
  /// Behaviour handed in; all members must be set.
  struct Hooks {
    base::Clock now;
    /// See `targets::TargetRegistry::Hooks::usable_from`.
    std::function<base::TimePoint(const base::TargetId&)> usable_from;
    /// Tells whether this host may start work on a target at this moment.
    std::function<bool(const base::TargetId&)> may_start_on_target;
    /// Calls a target; must call the second argument exactly once, on any thread.
    std::function<void(const TargetCall&, std::function<void(const TargetResponse&)>)> call_target;
    /// Sends a report to the host that assigned the task.
    std::function<void(const base::HostId&, const TaskReport&)> send_report;
    /// Observes a start and how long the task had waited here; may be empty.
    std::function<void(const scheduling::TaskSpec&, base::Duration)> on_task_started;
  };

  /// `own_attempt_prefix` begins each attempt id and must differ for each start of a process.
  Dispatcher(const std::string& own_prefix, Hooks hooks);

  /// Queues the tasks of one job for `origin_host`, or refuses all with "not run". A placement that
  /// is already known is ignored.
  void AssignTasks(const base::HostId& origin, std::vector<Assignment> assignments);

  /// Refuses the queued tasks of a submission with "not run"; running ones go on.
  void CancelSubmission(const base::SubmissionId& submission);

  /// Takes in an announcement of a target that this host owns.
  void OnAnnouncement(const targets::TargetAnnouncement& announcement);

  /// Forgets the targets for which `is_owned` is false, after a change of owner. Their running
  /// tasks are still reported.
  void RetainTargets(const std::function<bool(const base::TargetId&)>& is_owned);

  /// Expires deadlines and leases. Call it every few milliseconds.
  void Tick();

  /// Returns the load of one kind of targets.
  scheduling::LoadSummary LoadOfKind(base::TargetKind kind);

  /// Returns the targets that this host owns.
  std::vector<targets::TargetAnnouncement> OwnedTargets();

  /// Returns how many assigned tasks have not been reported yet.
  base::TaskCount TasksInFlight() const;

 private:
  struct PendingTask {
    base::HostId origin_host;
    Assignment assignment;
    base::TimePoint queued_at;
  };

  using Shard = std::unordered_map<base::TaskKey, PendingTask>;

  /// Notes a task until its report. False if a placement of it is known.
  bool AddPendingTask(const base::HostId& origin, Assignment assignment);
  void StartTask(const scheduling::StartDecision& decision);
  void OnTargetResponse(const scheduling::StartDecision& decision, const base::AttemptId& attempt,
                        base::TimePoint started, TargetResponse answer);
  void ReportTask(const base::TaskKey& key, const TargetResponse& answer);
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
