#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include "base/time.h"
#include "runs/capacity_report.h"
#include "runs/gateway_liveness.h"
#include "runs/leased_target.h"
#include "runs/placed_batch.h"
#include "runs/poll_response.h"
#include "runs/scheduler_actions.h"
#include "runs/scheduler_settings.h"
#include "runs/target_call_response.h"

namespace sapphirecrank::runs {

/// The targets of one service that this host owns, and the parts placed on them.
///
/// A run holds its room from the order on until the target has shown that it is gone: orders
/// without an answer may be carried out seconds later, and a target without admission control
/// starts whatever it is told to. Each method appends what is to be done to `effects`. Thread
/// safety: none.
class ServiceScheduler {
 public:
  ServiceScheduler();
  explicit ServiceScheduler(const SchedulerSettings& settings);

  /// Takes what an owned target says of itself. Reports of an earlier life or out of order change
  /// nothing.
  void OnTargetReport(const TargetReport& report, base::FencingToken token, base::TimePoint now,
                      SchedulerActions& effects);

  using IsTargetOwned = std::function<bool(const TargetReport&)>;

  /// Gives up all targets but those that `is_owned` names, which must be pure.
  void ReleaseUnownedTargets(const IsTargetOwned& is_owned, base::TimePoint now,
                             SchedulerActions& effects);

  /// Uses a new token for all targets. `was_owner` tells whether this host owned them in each view
  /// since the last token; if not, another owner may have started runs, and the targets are adopted
  /// again.
  void SetFencingToken(base::FencingToken token, bool was_owner, base::TimePoint now,
                       SchedulerActions& effects);

  void PlaceBatch(TaskBatch part, base::TimePoint now, SchedulerActions& effects);

  /// Stops the parts of `job` that `gateway` placed.
  void CancelJob(const base::HostId& gateway, const base::SubmissionId& job, base::TimePoint now,
                 SchedulerActions& effects);

  /// Takes note that `gateway` still waited for its parts at `alive_at`.
  void OnGatewayAlive(const base::HostId& gateway, base::TimePoint alive_at, base::TimePoint now,
                      SchedulerActions& effects);

  /// Stops all parts that `gateway` placed.
  void CancelJobsOfGateway(const base::HostId& gateway, base::TimePoint now,
                           SchedulerActions& effects);

  void OnStartResponse(const StartRequest& order, const TargetCallResponse& answer,
                       base::TimePoint now, SchedulerActions& effects);
  void OnStopResponse(const StopRequest& order, const TargetCallResponse& answer,
                      base::TimePoint now, SchedulerActions& effects);
  void OnPollResponse(const PollRequest& order, const PollResponse& answer, base::TimePoint now,
                      SchedulerActions& effects);

  /// Takes the keeper's answer to a notice.
  void OnEventAcknowledgement(const RunEvent& notice, bool is_outdated, base::TimePoint now,
                              SchedulerActions& effects);

  /// Does what is due by time. To be called several times in 100 ms.
  void Tick(base::TimePoint now, SchedulerActions& effects);

  /// Returns what can be started.
  CapacityReport::ServiceCapacity Capacity(base::TimePoint now) const;

  /// Returns the number of parts that have not ended.
  size_t BatchCount() const { return this->batches.size(); }

  /// Returns the targets, for tests and the status.
  const std::map<base::TargetId, LeasedTarget>& leased_targets() const { return this->targets; }

 private:
  using QueueKey = std::pair<base::Priority, uint64_t>;

  bool CanStartRuns(const LeasedTarget& target, base::TimePoint now) const;
  LeasedTarget* ChooseTarget(const PlacementRule& rule, const BatchTask& task, base::TimePoint now);
  void StartQueuedTasks(base::TimePoint now, SchedulerActions& effects);
  /// Starts tasks of a part; returns false if one found no target.
  bool StartBatchTasks(PlacedBatch& placed, base::TimePoint now, SchedulerActions& effects);
  void StartTask(PlacedBatch& placed, size_t task, LeasedTarget& target, base::TimePoint now,
                 SchedulerActions& effects);
  void EnqueueTask(PlacedBatch& placed, size_t task);
  void StopRun(LeasedTarget& target, const RunKey& key, TargetRun& run, base::TimePoint now,
               SchedulerActions& effects);
  /// Frees the room of a run; returns what it was.
  TargetRun RemoveRun(LeasedTarget& target, const RunKey& key);
  /// Places the task of a run that is gone again, if somebody waits for it.
  void RequeueTask(const LeasedTarget& target, const RunKey& key, const TargetRun& run,
                   base::TimePoint now, SchedulerActions& effects);
  /// Returns the task of a run that is gone to the keeper of its stored job.
  void ReturnTask(const LeasedTarget& target, const RunKey& key, const TargetRun& run,
                  base::TimePoint now, SchedulerActions& effects);
  /// Takes note that a task of a part needs no more runs here.
  void FinishTask(std::map<BatchKey, PlacedBatch>::iterator found, base::TimePoint now,
                  SchedulerActions& effects);
  static void AddRunEvent(const LeasedTarget& target, const RunKey& key, RunEvent::Kind kind,
                          base::SequenceNumber end, SchedulerActions& effects);
  static void AddRunEndEvent(LeasedTarget& target, const FinishedRun& end,
                             SchedulerActions& effects);
  void OnRunEnd(LeasedTarget& target, const FinishedRun& end, base::TimePoint now,
                SchedulerActions& effects);
  void RecordRunFailure(const LeasedTarget& target, const RunKey& key, const TargetRun& run,
                        base::TimePoint now, SchedulerActions& effects);
  void ReconcileRuns(LeasedTarget& target, const TargetRunList& look, base::TimePoint sent,
                     base::TimePoint now, SchedulerActions& effects);
  /// Gives up all runs of a target. They may go on until `gone_at`; a time that has passed means
  /// that they are gone.
  void AbandonRuns(LeasedTarget& target, base::TimePoint gone_at, const char* reason,
                   base::TimePoint now, SchedulerActions& effects);
  void OrphanRuns(LeasedTarget& target, base::TimePoint now, SchedulerActions& effects);
  void MarkFenced(LeasedTarget& target, base::TimePoint now, SchedulerActions& effects);
  void DropTarget(const base::TargetId& target, base::TimePoint gone_at, const char* reason,
                  base::TimePoint now, SchedulerActions& effects);
  void PollIfDue(LeasedTarget& target, base::TimePoint now, SchedulerActions& effects);
  void EndBatch(std::map<BatchKey, PlacedBatch>::iterator found,
                std::optional<BatchResult::Outcome> kind, const char* reason, base::TimePoint now,
                SchedulerActions& effects);
  void ExpireBatches(base::TimePoint now, SchedulerActions& effects);

  SchedulerSettings settings;
  std::map<base::TargetId, LeasedTarget> targets;
  std::map<BatchKey, PlacedBatch> batches;
  std::map<QueueKey, BatchKey> batch_queue;
  GatewayLiveness gateway_liveness;
  // Tasks with a run on some target, so that no second run of one begins before the first is gone.
  std::multiset<JobTaskKey> reserved_tasks;
  // Names in `reserved_tasks` of runs on targets that this host doesn't own any more, until their
  // lease has ended.
  std::multimap<base::TimePoint, JobTaskKey> reservation_expiries;
  uint64_t next_arrival_number = 1;
  // Smoothed mean of the processors that tasks ask for.
  double mean_required_processors = 0;
};

}  // namespace sapphirecrank::runs
