#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "base/time.h"
#include "runs/capacity_report.h"
#include "runs/capacity_reserver.h"
#include "runs/gateway_liveness.h"
#include "runs/leased_target.h"
#include "runs/placed_batch.h"
#include "runs/poll_response.h"
#include "runs/queue_position.h"
#include "runs/queued_batch.h"
#include "runs/returnable_tasks.h"
#include "runs/scheduler_actions.h"
#include "runs/scheduler_settings.h"
#include "runs/start_permission.h"
#include "runs/target_call_response.h"
#include "runs/task_end_rate.h"
#include "targets/target_health_tracker.h"

namespace sapphirecrank::runs {

/// Schedules the runs of one service: holds the targets that this host owns and the batches placed
/// on them.
///
/// A run keeps its share of the target's capacity from the start request until the target has shown
/// that the run is gone. A request without a response may be carried out seconds later, and a
/// target without admission control starts whatever it is told to. Each method appends what is to
/// be done to `actions`. Thread safety: none.
class ServiceScheduler {
 public:
  ServiceScheduler();
  explicit ServiceScheduler(const SchedulerSettings& settings);

  /// Processes the report of a target that this host owns with the fencing token `token`. Reports
  /// of an earlier incarnation and reports that arrive out of order change nothing. After a report
  /// of a new incarnation or address, the scheduler looks for its runs there before it starts any.
  void OnTargetReport(const TargetReport& report, base::FencingToken token, base::TimePoint now,
                      SchedulerActions& actions);

  using IsTargetOwned = std::function<bool(const TargetReport&)>;

  /// Drops all targets for which `is_owned` returns false; `is_owned` must be pure.
  void ReleaseUnownedTargets(const IsTargetOwned& is_owned, base::TimePoint now,
                             SchedulerActions& actions);

  /// Uses `token` for all targets whose fencing token is lower. `was_owner` says whether this host
  /// owned them in each view since their last token. If not, another owner may have started runs
  /// there, and the targets are adopted again.
  void SetFencingToken(base::FencingToken token, bool was_owner, base::TimePoint now,
                       SchedulerActions& actions);

  /// Queues the tasks of a batch and starts those that fit. Unfinished batches of the same job that
  /// another gateway placed are ended, and so is one with the same key.
  void PlaceBatch(TaskBatch batch, base::TimePoint now, SchedulerActions& actions);

  /// Stops the batches of `job` that `gateway` placed; no `BatchResult` follows.
  void CancelJob(const base::HostId& gateway, const base::SubmissionId& job, base::TimePoint now,
                 SchedulerActions& actions);

  /// Records that `gateway` still waited for its batches at `alive_at`.
  void OnGatewayAlive(const base::HostId& gateway, base::TimePoint alive_at, base::TimePoint now,
                      SchedulerActions& actions);

  /// Stops all batches that `gateway` placed; no `BatchResult` follows.
  void CancelJobsOfGateway(const base::HostId& gateway, base::TimePoint now,
                           SchedulerActions& actions);

  /// Starts runs only where and while `permission` allows it. Runs that are active elsewhere end by
  /// themselves. Waiting tasks that this host may not start any more are returned at once.
  void SetStartPermission(const StartPermission& permission, base::TimePoint now,
                          SchedulerActions& actions);

  /// Returns the waiting tasks of a batch to its gateway, see `BatchRecall`. Does nothing if there
  /// are none, or if the gateway can't place them elsewhere.
  void RecallBatch(const BatchKey& key, base::TimePoint now, SchedulerActions& actions);

  /// Process a target's response to a request in earlier `actions`, or the lack of one.
  void OnStartResponse(const StartRequest& request, const TargetCallResponse& response,
                       base::TimePoint now, SchedulerActions& actions);
  void OnStopResponse(const StopRequest& request, const TargetCallResponse& response,
                      base::TimePoint now, SchedulerActions& actions);
  void OnPollResponse(const PollRequest& request, const PollResponse& response, base::TimePoint now,
                      SchedulerActions& actions);

  /// Processes the stored job manager's acknowledgement of `event`. With `is_superseded` the event
  /// is a run end that came after its task was placed again and doesn't count.
  void OnEventAcknowledgement(const RunEvent& event, bool is_superseded, base::TimePoint now,
                              SchedulerActions& actions);

  /// Ends expired batches, handles expired leases, sends due polls and stop requests, drops silent
  /// targets and starts queued tasks. Must be called several times per 100 ms.
  void Tick(base::TimePoint now, SchedulerActions& actions);

  /// Returns how many tasks can be started now; `service` is left empty.
  CapacityReport::ServiceCapacity Capacity(base::TimePoint now) const;

  /// Adds the number of runs that may be active on the targets to `counts`, by data centre.
  void AddRunCounts(std::map<base::DataCentreId, size_t>& counts) const;

  /// Returns the number of batches that have not ended.
  size_t BatchCount() const { return this->batches.size(); }

  /// Returns the targets that this host owns, for tests.
  const std::map<base::TargetId, LeasedTarget>& leased_targets() const { return this->targets; }

 private:
  bool CanStartRuns(const LeasedTarget& target, base::TimePoint now) const;
  /// Returns the target for the next run of a task, or null if it fits on none.
  LeasedTarget* ChooseTarget(const PlacedBatch& placed, size_t task_position, base::TimePoint now);
  /// Starts the waiting tasks that fit, in the order of the queue. A batch that fits nowhere keeps
  /// later ones only from the targets that are reserved for it.
  void StartQueuedTasks(base::TimePoint now, SchedulerActions& actions);
  /// Starts waiting tasks of a batch until one fits no target; returns false in that case.
  bool StartBatchTasks(PlacedBatch& placed, base::TimePoint now, SchedulerActions& actions);
  /// Reserves targets for a batch that fits nowhere, unless an earlier batch has a reservation.
  void ReserveTargets(const PlacedBatch& placed, base::TimePoint now);
  /// Returns the targets that can start runs now.
  std::vector<const LeasedTarget*> UsableTargets(base::TimePoint now) const;
  /// Ends a reservation that has lasted for its maximum time or serves no purpose any more.
  void EndReservationIfDue(base::TimePoint now, SchedulerActions& actions);
  void StartTask(PlacedBatch& placed, size_t task_position, LeasedTarget& target,
                 base::TimePoint now, SchedulerActions& actions);
  void EnqueueTask(PlacedBatch& placed, size_t task_position, base::TimePoint now);
  void StopRun(LeasedTarget& target, const RunKey& key, TargetRun& run, base::TimePoint now,
               SchedulerActions& actions);
  /// Removes a run, frees the resources that it used, and returns it.
  TargetRun RemoveRun(LeasedTarget& target, const RunKey& key);
  /// Queues the task of `run` again, after the run was removed or its target's lease has ended. A
  /// stored task that has used up its run numbers is returned to the stored job manager instead.
  /// Does nothing if the run is an orphan or not the last run of the task. Precondition for a
  /// stored task: no host can read a result of the run.
  void RequeueTask(const LeasedTarget& target, const RunKey& key, const TargetRun& run,
                   base::TimePoint now, SchedulerActions& actions);
  /// Returns the task of `run` to the stored job manager instead of queueing it again.
  /// `is_run_gone` says that the run isn't active any more. Does nothing in the same cases as
  /// `RequeueTask`.
  void ReturnTask(const LeasedTarget& target, const RunKey& key, const TargetRun& run,
                  bool is_run_gone, base::TimePoint now, SchedulerActions& actions);
  /// Returns the task of a stored job, and queues any other task again. For a run whose result
  /// another owner of its target may read: that owner reports it to the stored job manager, which
  /// then must not count it beside a further run of the same batch.
  void ReturnOrRequeueTask(const LeasedTarget& target, const RunKey& key, const TargetRun& run,
                           bool is_run_gone, base::TimePoint now, SchedulerActions& actions);
  /// Records that a task of a batch needs no more runs here, and ends the batch after the last one.
  void FinishTask(std::map<BatchKey, PlacedBatch>::iterator batch_iterator, base::TimePoint now,
                  SchedulerActions& actions);
  static void AddRunEvent(const LeasedTarget& target, const RunKey& key, RunEvent::Kind kind,
                          base::SequenceNumber end_sequence_number, SchedulerActions& actions);
  static void AddRunEndEvent(LeasedTarget& target, const FinishedRun& finished_run,
                             SchedulerActions& actions);
  void OnRunEnd(LeasedTarget& target, const FinishedRun& finished_run, base::TimePoint now,
                SchedulerActions& actions);
  void RecordRunFailure(const LeasedTarget& target, const RunKey& key, const TargetRun& run,
                        base::TimePoint now, SchedulerActions& actions);
  /// Records the outcome of a run that tells whether its target is healthy.
  void RecordTargetHealth(LeasedTarget& target, bool succeeded, base::TimePoint now,
                          SchedulerActions& actions);
  /// Records the progress of a run that its target lists as active. Stops the run if it makes no
  /// progress, so that its task is started on another target.
  void CheckProgress(LeasedTarget& target, const ActiveRun& active, TargetRun& run,
                     base::TimePoint now, SchedulerActions& actions);
  /// Returns how long the target may hold back its response to the next poll.
  base::Duration PollWait(const LeasedTarget& target, base::TimePoint now) const;
  void ReconcileRuns(LeasedTarget& target, const TargetRunList& run_list, base::TimePoint sent_at,
                     base::TimePoint now, SchedulerActions& actions);
  /// Removes all runs of a target and queues or returns their tasks. The runs may stay active until
  /// `may_run_until`; `TimePoint()` means that they are gone.
  void AbandonRuns(LeasedTarget& target, base::TimePoint may_run_until, const char* reason,
                   base::TimePoint now, SchedulerActions& actions);
  /// Queues the tasks of all runs of a target whose lease has ended. The runs stay known as
  /// orphans, and keep their share of the capacity, until the target shows that they are gone.
  void OrphanRuns(LeasedTarget& target, base::TimePoint now, SchedulerActions& actions);
  /// Sends no further requests to a target that another owner has taken over, and abandons its
  /// runs.
  void MarkFenced(LeasedTarget& target, base::TimePoint now, SchedulerActions& actions);
  /// Lists the runs of a target before any further run is started on it. Runs that the scheduler
  /// already has there are kept until the target has shown that they are gone.
  static void BeginAdoption(LeasedTarget& target, std::string reason, base::TimePoint now,
                            SchedulerActions& actions);
  /// Records that a target has been restarted under its id as `incarnation`. Its runs may have been
  /// lost, but a start request may also have reached the new incarnation before this host learned
  /// of it, so the target is adopted again.
  void OnRestart(LeasedTarget& target, base::Incarnation incarnation, const char* evidence,
                 base::TimePoint now, SchedulerActions& actions);
  void DropTarget(const base::TargetId& target, base::TimePoint may_run_until, const char* reason,
                  base::TimePoint now, SchedulerActions& actions);
  /// Tells whether the response to a start request is outstanding and not late.
  static bool IsStartResponseExpected(const LeasedTarget& target, base::TimePoint now);
  /// Polls a target that is being adopted, has runs, or has finished runs to acknowledge.
  void PollIfDue(LeasedTarget& target, base::TimePoint now, SchedulerActions& actions);
  /// Stops the runs of a batch and removes it. A `BatchResult` is sent if `outcome` has a value.
  void EndBatch(std::map<BatchKey, PlacedBatch>::iterator batch_iterator,
                std::optional<BatchResult::Outcome> outcome, const char* reason,
                base::TimePoint now, SchedulerActions& actions);
  /// Returns the waiting tasks of a batch that this host may not start any more; `batch_iterator`
  /// becomes invalid if the batch ends. Tasks of a stored batch are returned too if they have
  /// waited for `wait_limit` and no target that this host can use has the capacity for them, in use
  /// or not.
  void ReturnTasksWithoutTarget(std::map<BatchKey, PlacedBatch>::iterator batch_iterator,
                                base::TimePoint now, SchedulerActions& actions);
  /// Gives tasks of a batch back to its gateway or to the stored job manager. `is_run_gone` says
  /// that the manager need not wait for the end of a lease; `batch_iterator` becomes invalid if the
  /// batch ends.
  void GiveBackTasks(std::map<BatchKey, PlacedBatch>::iterator batch_iterator,
                     const ReturnableTasks& returnable, bool is_run_gone, const char* reason,
                     base::TimePoint now, SchedulerActions& actions);
  /// Returns why this host may not start the tasks of a batch, or null if nothing forbids it. Not
  /// for capacity in use and other obstacles that pass by themselves.
  const char* WhyStartIsForbidden(const PlacedBatch& placed, base::TimePoint now) const;
  /// Tells whether all targets that could run tasks of a batch, in use or not, are evacuated, and
  /// there are some.
  bool AreSuitableTargetsEvacuated(const PlacedBatch& placed, base::TimePoint now) const;
  /// Returns whether a task of the batch could start on some target once its capacity is free.
  bool HasUsableTarget(const PlacementRule& rule, const BatchTask& task, base::TimePoint now) const;
  /// Ends the batches whose `wait_limit` or `time_left` has passed.
  void ExpireBatches(base::TimePoint now, SchedulerActions& actions);

  SchedulerSettings settings;
  StartPermission start_permission;
  std::map<base::TargetId, LeasedTarget> targets;
  std::map<BatchKey, PlacedBatch> batches;
  std::map<QueuePosition, QueuedBatch> batch_queue;
  CapacityReserver capacity_reserver;
  // Targets that fail the tasks of most jobs get no runs for a while, although they report that
  // they are ready.
  targets::TargetHealthTracker target_health;
  GatewayLiveness gateway_liveness;
  // Tasks with a run that may be active on some target. No second run of such a task may start.
  std::multiset<JobTaskKey> reserved_tasks;
  // The tasks in `reserved_tasks` whose runs are on targets that this host doesn't own any more, by
  // the time at which the lease of the target ends.
  std::multimap<base::TimePoint, JobTaskKey> reservation_expiries;
  uint64_t next_arrival_number = 1;
  TaskEndRate task_end_rate;
  // Smoothed mean of the milli-cores that tasks require, of those that fit on some target; 0 before
  // the first task.
  double mean_required_processors = 0;
};

}  // namespace sapphirecrank::runs
