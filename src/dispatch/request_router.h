#pragma once

#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/ids.h"
#include "base/sharded.h"
#include "base/time.h"
#include "dispatch/assignment.h"
#include "dispatch/host_load.h"
#include "dispatch/task_report.h"

namespace sapphirecrank::dispatch {

/// Places the tasks of submissions on entry hosts and collects their reports.
///
/// The completion callback of a submission is called exactly once, when each task has a final
/// report. A task is placed again only after the verdict "not run" or, if it is idempotent, "may
/// have run". State is in memory only. Thread safety: all methods may be called from any thread;
/// hooks run with no lock held.
class RequestRouter {
 public:
  /// Called with the final reports of all tasks of a submission, ordered by task index.
  using CompletionCallback = std::function<void(const std::vector<TaskReport>&)>;

  /// Callbacks of the router; all must be set.
  struct Hooks {
    /// Current time.
    base::Clock now;
    /// Returns the loads of the entry hosts that may get work, the own host first.
    std::function<std::vector<HostLoad>(base::TargetKind)> host_loads;
    /// Assigns tasks to a host, which may be the own one. Returns false only if the tasks were
    /// certainly not sent.
    std::function<bool(const base::HostId&, const std::vector<Assignment>&)> assign_tasks;
    /// Asks a host to drop the queued tasks of a submission.
    std::function<void(const base::HostId&, const base::SubmissionId&)> cancel_submission;
  };

  /// Creates a router without submissions.
  explicit RequestRouter(Hooks hooks);

  /// Starts a submission. Returns false and starts nothing if a submission with this id is in
  /// flight here. Preconditions: there is at least one task, all tasks have the same submission id
  /// and deadline, and their indices are 0 to size - 1 in this order.
  bool Submit(std::vector<Assignment> assignments, CompletionCallback on_complete);

  /// Processes a report from `host` and returns true. Ignores a report about an unknown or earlier
  /// placement and returns false.
  bool OnReport(const base::HostId& host, const TaskReport& report);

  /// Ends the placements on `host`, which was lost, with the verdict "may have run". Idempotent
  /// tasks may be placed again.
  void OnHostLost(const base::HostId& host);

  /// Ends all submissions with `error`, before the process stops without having drained.
  void EndAllSubmissions(const base::Error& error);

  /// Cancels the queued tasks of a submission. Running tasks continue, and the router waits for
  /// their reports. Returns false if the submission is not in flight here.
  bool CancelSubmission(const base::SubmissionId& submission);

  /// Places tasks whose delay has passed and ends tasks whose deadline has passed. Must be called
  /// every few milliseconds.
  void Tick();

  /// Returns the number of submissions that have not ended.
  size_t SubmissionsInFlight();

 private:
  struct TaskState {
    Assignment assignment;
    /// Host of the current placement; empty while the task is not placed.
    base::HostId host;
    bool is_final = false;
    /// Earliest time of the next placement.
    base::TimePoint place_at;
    TaskReport final_report;
  };

  struct SubmissionState {
    std::vector<TaskState> tasks;
    size_t unfinished_tasks = 0;
    /// A task failed or the submission was cancelled, so no further task is placed.
    bool is_failing = false;
    /// Earliest time at which `Tick` has something to do.
    base::TimePoint next_due_at;
    CompletionCallback on_complete;
  };

  using Shard = std::unordered_map<base::SubmissionId, SubmissionState>;

  /// Calls to make after the lock of the shard is released.
  struct Effects;

  struct HostSelectors;

  HostSelectors CurrentHostSelectors() const;
  static void PlaceDueTasks(SubmissionState& state, base::TimePoint now,
                            HostSelectors& host_selectors, Effects& effects);
  /// Returns what is known about whether a task without a final report has run.
  static base::ExecutionVerdict CurrentVerdict(const TaskState& task);
  void EndTask(SubmissionState& state, TaskState& task, const TaskReport& report, Effects& effects);
  void RetryOrEndTask(SubmissionState& state, TaskState& task, const TaskReport& report,
                      base::TimePoint now, Effects& effects);
  void FailSubmission(SubmissionState& state, Effects& effects);
  void EndExpiredTasks(SubmissionState& state, base::TimePoint now, Effects& effects);
  /// Calls `update` on a submission under the lock of its shard, then applies the effects. Returns
  /// false if the submission is unknown.
  bool UpdateSubmission(const base::SubmissionId& submission,
                        const std::function<void(SubmissionState&, Effects&)>& update);
  void UpdateMatchingSubmissions(const std::function<bool(const SubmissionState&)>& condition,
                                 const std::function<void(SubmissionState&, Effects&)>& update);
  void ApplyEffects(const Effects& effects);
  void OnAssignmentNotSent(const base::HostId& host, const std::vector<Assignment>& assignments);

  Hooks hooks;
  base::Sharded<base::SubmissionId, Shard> shards;
};

}  // namespace sapphirecrank::dispatch
