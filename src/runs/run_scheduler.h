#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

#include "base/mutex.h"
#include "base/sharded.h"
#include "base/thread_annotations.h"
#include "base/time.h"
#include "runs/allocator_message_queue.h"
#include "runs/batch_recall.h"
#include "runs/returned_tasks.h"
#include "runs/run_event_acknowledgements.h"
#include "runs/service_scheduler.h"
#include "runs/start_permission.h"

namespace sapphirecrank::runs {

/// Schedules runs on all targets that this host owns, with one `ServiceScheduler` for each service.
/// Each shard holds some of the services and has its own lock.
///
/// Thread safety: all methods may be called from any thread. Hooks run without a lock.
class RunScheduler {
 public:
  /// All members must be set. The callbacks that are passed to `start_run`, `stop_run` and
  /// `poll_target` may be called on any thread, also before the hook returns.
  struct Hooks {
    base::Clock now;
    std::function<void(const StartRequest&, std::function<void(const TargetCallResponse&)>)>
        start_run;
    std::function<void(const StopRequest&, std::function<void(const TargetCallResponse&)>)>
        stop_run;
    std::function<void(const PollRequest&, std::function<void(const PollResponse&)>)> poll_target;
    std::function<void(const BatchResult&)> on_batch_end;
    /// Gives tasks back to the gateway that placed their batch.
    std::function<void(const ReturnedTasks&)> on_tasks_returned;
    std::function<void(const RunDecision&)> on_decision;
    /// Sends events to the stored job manager, whose response goes to `OnEventAcknowledgements`.
    std::function<void(const std::vector<RunEvent>&)> on_run_events;
  };

  RunScheduler(const SchedulerSettings& settings, Hooks hooks);

  /// Processes the report of a target that this host owns with the fencing token `token`.
  void OnTargetReport(const TargetReport& report, base::FencingToken token);

  /// Applies a new assignment of the targets to the hosts. `token` is the fencing token of all
  /// owners in it. Targets for which `is_owned` returns false are released; `is_owned` must be
  /// pure. `owned` are the reports of the known targets for which it returns true. For `was_owner`,
  /// see `ServiceScheduler::SetFencingToken`.
  void OnOwnershipChange(base::FencingToken token, bool was_owner,
                         const ServiceScheduler::IsTargetOwned& is_owned,
                         const std::vector<TargetReport>& owned);

  /// Queues the tasks of a batch and starts those that fit, see `ServiceScheduler::PlaceBatch`.
  void PlaceBatch(TaskBatch batch);
  /// Stops the batches of `job` that `gateway` placed; no `BatchResult` follows.
  void CancelJob(const base::HostId& gateway, const base::SubmissionId& job);
  /// Stops all batches that `gateway` placed; no `BatchResult` follows.
  void CancelJobsOfGateway(const base::HostId& gateway);

  /// Returns the waiting tasks of a batch that `gateway` placed, see `BatchRecall`.
  void RecallBatch(const base::HostId& gateway, const BatchRecall& recall);

  /// Starts no further runs on targets in `data_centres`, and on those in all others again. Runs
  /// that are active there end by themselves. Waiting tasks that no other target of this host could
  /// run are returned at once.
  void SetEvacuatedDataCentres(const std::set<base::DataCentreId>& data_centres);

  /// Starts no runs later than `until`, until a later call allows it. Unlimited before the first
  /// call. For a host that can't know whether one of its data centres is being evacuated.
  void AllowStartsUntil(base::TimePoint until);

  /// Returns how many runs may be active on this host's targets, for each data centre that has any.
  std::map<base::DataCentreId, size_t> RunCounts();

  /// Records that `gateway` still waited for its batches at `alive_at`. Runs are started only for
  /// gateways that have been alive recently, see `SchedulerSettings::gateway_timeout`.
  void OnGatewayAlive(const base::HostId& gateway, base::TimePoint alive_at);

  /// Processes the stored job manager's response to run events.
  void OnEventAcknowledgements(const RunEventAcknowledgements& acknowledgements);

  /// Runs the timers of all services, see `ServiceScheduler::Tick`. Must be called several times
  /// per 100 ms.
  void Tick();

  /// Returns how many tasks can be started now, for each service.
  std::vector<CapacityReport::ServiceCapacity> ServiceCapacities();

  /// Returns the number of batches that have not ended.
  size_t BatchCount();

 private:
  struct Shard {
    std::map<base::ServiceId, ServiceScheduler> service_schedulers;
    AllocatorMessageQueue message_queue;
  };

  template <typename Function>
  void UpdateService(const base::ServiceId& service, Function function);
  template <typename Function>
  void UpdateAllServices(Function function);
  /// Executes `actions` except for the messages, which are in the queue of the shard.
  void ExecuteActions(const base::ServiceId& service, const SchedulerActions& actions);
  /// Delivers the messages of the shard that holds `service`, unless another thread does.
  void DeliverMessages(const base::ServiceId& service);
  StartPermission CurrentStartPermission();
  void ApplyStartPermission();
  base::TimePoint GatewayLastAliveAt(const base::HostId& gateway);

  SchedulerSettings settings;
  Hooks hooks;
  base::Sharded<base::ServiceId, Shard> shards;
  base::Mutex gateway_last_alive_mutex;
  std::map<base::HostId, base::TimePoint> gateway_last_alive_at
      GUARDED_BY(gateway_last_alive_mutex);
  // May be locked while a shard is locked, but not the other way round.
  base::Mutex start_permission_mutex;
  StartPermission start_permission GUARDED_BY(start_permission_mutex);
};

}  // namespace sapphirecrank::runs
