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

/// Places the tasks of one piece of work on entry hosts and collects their reports.
///
/// The work's end is told exactly once, when each task has a final report. A task is placed again
/// only after "not run", or if it is idempotent. State is in memory only. Thread safety: all
/// methods may be called from any thread; hooks run with no lock held.
class RequestRouter {
 public:
  using CompletionCallback = std::function<void(const std::vector<TaskReport>&)>;

  /// Behaviour handed in; all members must be set.
  struct Hooks {
    base::Clock now;
    /// Loads of the entry hosts that may get work, the own one first.
    std::function<std::vector<HostLoad>(base::TargetKind)> host_loads;
    /// Hands tasks to a host (also the own one). False means that they were surely not handed over.
    std::function<bool(const base::HostId&, const std::vector<Assignment>&)> assign_tasks;
    /// Asks a host to drop the queued tasks of a submission.
    std::function<void(const base::HostId&, const base::SubmissionId&)> cancel_submission;
  };

  explicit RequestRouter(Hooks hooks);

  /// Starts a piece of work. False if work with this submission id is under way here; then nothing
  /// is started. Preconditions: at least one task; all tasks have the same submission, with indices
  /// 0 to size - 1.
  bool Submit(std::vector<Assignment> tasks, CompletionCallback on_done);

  /// Takes in a report from `host`; one for an unknown or older placement is dropped. Returns
  /// whether it was used.
  bool OnReport(const base::HostId& host, const TaskReport& report);

  /// Ends the tasks that were placed on `host` with "may have run".
  void OnHostLost(const base::HostId& host);

  /// Ends all work with `error`, before the process stops without having drained.
  void EndAllSubmissions(const base::Error& error);

  /// Drops what is queued of a submission. Tasks that run go on and their reports are awaited.
  /// False if the submission isn't under way here.
  bool CancelSubmission(const base::SubmissionId& submission);

  /// Places delayed tasks and ends work whose deadline has passed. Call every few milliseconds.
  void Tick();

  /// Returns how many pieces of work have not ended.
  size_t SubmissionsInFlight();

 private:
  struct TaskState {
    Assignment assignment;
    /// Empty while the task isn't placed.
    base::HostId host;
    bool is_final = false;
    base::TimePoint place_at;
    TaskReport final_report;
  };

  struct SubmissionState {
    std::vector<TaskState> tasks;
    size_t unfinished_tasks = 0;
    bool is_failing = false;
    /// Earliest time at which `Tick` has something to do.
    base::TimePoint next_due_at;
    CompletionCallback on_done;
  };

  using Shard = std::unordered_map<base::SubmissionId, SubmissionState>;

  /// What is to be done after the shard's lock is released.
  struct Effects;

  struct HostSelectors;

  HostSelectors CurrentHostSelectors() const;
  static void PlaceDueTasks(SubmissionState& work, base::TimePoint now, HostSelectors& choices,
                            Effects& effects);
  /// What is known of a task that has no final report.
  static base::ExecutionVerdict CurrentVerdict(const TaskState& task);
  void EndTask(SubmissionState& work, TaskState& task, const TaskReport& report, Effects& effects);
  void RetryOrEndTask(SubmissionState& work, TaskState& task, const TaskReport& report,
                      base::TimePoint now, Effects& effects);
  void FailSubmission(SubmissionState& work, Effects& effects);
  void EndExpiredTasks(SubmissionState& work, base::TimePoint now, Effects& effects);
  /// Runs `change(Work&, Effects&)` on a submission, then its effects. Returns false if unknown.
  bool UpdateSubmission(const base::SubmissionId& submission,
                        const std::function<void(SubmissionState&, Effects&)>& change);
  void UpdateMatchingSubmissions(const std::function<bool(const SubmissionState&)>& condition,
                                 const std::function<void(SubmissionState&, Effects&)>& change);
  void ApplyEffects(const Effects& effects);
  void OnAssignmentNotSent(const base::HostId& host, const std::vector<Assignment>& tasks);

  Hooks hooks;
  base::Sharded<base::SubmissionId, Shard> shards;
};

}  // namespace sapphirecrank::dispatch
