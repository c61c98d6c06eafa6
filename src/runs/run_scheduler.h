#pragma once

#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "base/mutex.h"
#include "base/sharded.h"
#include "base/thread_annotations.h"
#include "base/time.h"
#include "runs/run_event_acknowledgements.h"
#include "runs/service_scheduler.h"

namespace sapphirecrank::runs {

/// All targets that this host owns; one shard holds some services, each shard has its own lock.
///
/// Thread safety: all methods may be called from any thread. Hooks run without a lock.
class RunScheduler {
 public:
  /// Behaviour handed in; all members must be set. The answers may come on any thread, also before
  /// the call returns.
  struct Hooks {
    base::Clock now;
    std::function<void(const StartRequest&, std::function<void(const TargetCallResponse&)>)>
        start_run;
    std::function<void(const StopRequest&, std::function<void(const TargetCallResponse&)>)>
        stop_run;
    std::function<void(const PollRequest&, std::function<void(const PollResponse&)>)> poll_target;
    std::function<void(const BatchResult&)> on_batch_end;
    std::function<void(const RunDecision&)> on_decision;
    /// Tells the keeper of a stored job; to be answered with `OnEventAcknowledgements`.
    std::function<void(const std::vector<RunEvent>&)> on_run_events;
  };

  RunScheduler(const SchedulerSettings& settings, Hooks hooks);

  /// Takes the report of a target that this host owns with `token`.
  void OnTargetReport(const TargetReport& report, base::FencingToken token);

  /// Takes a new division of the targets among the hosts, with the token of its owners. Targets
  /// that `is_owned` doesn't name are given up; it must be pure. `owned` are the known targets that
  /// it names. `was_owner` is explained at `ServiceScheduler::SetFencingToken`.
  void OnOwnershipChange(base::FencingToken token, bool was_owner,
                         const ServiceScheduler::IsTargetOwned& is_owned,
                         const std::vector<TargetReport>& owned);

  void PlaceBatch(TaskBatch part);
  void CancelJob(const base::HostId& gateway, const base::SubmissionId& job);
  void CancelJobsOfGateway(const base::HostId& gateway);

  /// Takes note that `gateway` still waited for its parts at `alive_at`. Only gateways of which
  /// this is known get runs.
  void OnGatewayAlive(const base::HostId& gateway, base::TimePoint alive_at);

  /// Takes answers of the keeper of stored jobs.
  void OnEventAcknowledgements(const RunEventAcknowledgements& answers);

  /// Does what is due by time. To be called several times in 100 ms.
  void Tick();

  /// Returns what can be started, service by service.
  std::vector<CapacityReport::ServiceCapacity> ServiceCapacities();

  /// Returns the number of parts that have not ended.
  size_t BatchCount();

 private:
  struct Shard {
    std::map<base::ServiceId, ServiceScheduler> service_schedulers;
  };

  template <typename Function>
  void UpdateService(const base::ServiceId& service, Function function);
  template <typename Function>
  void UpdateAllServices(Function function);
  void ExecuteActions(const base::ServiceId& service, const SchedulerActions& effects);
  base::TimePoint GatewayLastAliveAt(const base::HostId& gateway);

  SchedulerSettings settings;
  Hooks hooks;
  base::Sharded<base::ServiceId, Shard> shards;
  base::Mutex gateway_last_alive_mutex;
  std::map<base::HostId, base::TimePoint> gateway_last_alive_at
      GUARDED_BY(gateway_last_alive_mutex);
};

}  // namespace sapphirecrank::runs
