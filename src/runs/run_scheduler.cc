#include "runs/run_scheduler.h"

#include <algorithm>
#include <utility>

#include "base/mutex_lock.h"

namespace sapphirecrank::runs {

namespace {

constexpr size_t kShardCount = 16;

}  // namespace

RunScheduler::RunScheduler(const SchedulerSettings& settings, Hooks hooks)
    : settings(settings), hooks(std::move(hooks)), shards(kShardCount) {}

template <typename Function>
void RunScheduler::UpdateService(const base::ServiceId& service, Function function) {
  const base::TimePoint now = this->hooks.now();
  SchedulerActions actions;
  this->shards.WithShard(service, [&](Shard& shard) {
    auto scheduler = shard.service_schedulers.try_emplace(service, this->settings).first;
    function(scheduler->second, now, actions);
  });
  this->ExecuteActions(service, actions);
}

template <typename Function>
void RunScheduler::UpdateAllServices(Function function) {
  std::vector<base::ServiceId> services;
  this->shards.ForEachShard([&services](Shard& shard) {
    for (const auto& [service, scheduler] : shard.service_schedulers) {
      services.push_back(service);
    }
  });
  for (const base::ServiceId& service : services) {
    this->UpdateService(service, function);
  }
}

void RunScheduler::OnTargetReport(const TargetReport& report, base::FencingToken token) {
  this->UpdateService(report.service, [&](ServiceScheduler& scheduler, base::TimePoint now,
                                          SchedulerActions& actions) {
    scheduler.OnTargetReport(report, token, now, actions);
  });
}

void RunScheduler::OnOwnershipChange(base::FencingToken token, bool was_owner,
                                     const ServiceScheduler::IsTargetOwned& is_owned,
                                     const std::vector<TargetReport>& owned) {
  // All owners use the new token. Targets of other hosts are released before it is set; otherwise
  // this host could start runs there in addition to those of the new owner.
  this->UpdateAllServices(
      [&](ServiceScheduler& scheduler, base::TimePoint now, SchedulerActions& actions) {
        scheduler.ReleaseUnownedTargets(is_owned, now, actions);
      });
  this->UpdateAllServices(
      [&](ServiceScheduler& scheduler, base::TimePoint now, SchedulerActions& actions) {
        scheduler.SetFencingToken(token, was_owner, now, actions);
      });
  for (const TargetReport& report : owned) {
    this->OnTargetReport(report, token);
  }
}

void RunScheduler::OnGatewayAlive(const base::HostId& gateway, base::TimePoint alive_at) {
  {
    base::MutexLock lock(this->gateway_last_alive_mutex);
    base::TimePoint& last_alive_at = this->gateway_last_alive_at[gateway];
    last_alive_at = std::max(last_alive_at, alive_at);
  }
  this->UpdateAllServices(
      [&](ServiceScheduler& scheduler, base::TimePoint now, SchedulerActions& actions) {
        scheduler.OnGatewayAlive(gateway, alive_at, now, actions);
      });
}

base::TimePoint RunScheduler::GatewayLastAliveAt(const base::HostId& gateway) {
  base::MutexLock lock(this->gateway_last_alive_mutex);
  auto found = this->gateway_last_alive_at.find(gateway);
  return found == this->gateway_last_alive_at.end() ? base::TimePoint() : found->second;
}

void RunScheduler::PlaceBatch(TaskBatch batch) {
  const base::ServiceId service = batch.service;
  // The service may have no scheduler yet; a new one doesn't know when the gateway was alive.
  const base::TimePoint alive_at = this->GatewayLastAliveAt(batch.key.gateway);
  this->UpdateService(
      service, [&](ServiceScheduler& scheduler, base::TimePoint now, SchedulerActions& actions) {
        scheduler.OnGatewayAlive(batch.key.gateway, alive_at, now, actions);
        scheduler.PlaceBatch(std::move(batch), now, actions);
      });
}

void RunScheduler::CancelJob(const base::HostId& gateway, const base::SubmissionId& job) {
  this->UpdateAllServices(
      [&](ServiceScheduler& scheduler, base::TimePoint now, SchedulerActions& actions) {
        scheduler.CancelJob(gateway, job, now, actions);
      });
}

void RunScheduler::CancelJobsOfGateway(const base::HostId& gateway) {
  this->UpdateAllServices(
      [&](ServiceScheduler& scheduler, base::TimePoint now, SchedulerActions& actions) {
        scheduler.CancelJobsOfGateway(gateway, now, actions);
      });
}

void RunScheduler::RecallBatch(const base::HostId& /*gateway*/, const BatchRecall& /*recall*/) {}

void RunScheduler::SetEvacuatedDataCentres(const std::set<base::DataCentreId>& /*data_centres*/) {}

void RunScheduler::AllowStartsUntil(base::TimePoint /*until*/) {}

std::map<base::DataCentreId, size_t> RunScheduler::RunCounts() { return {}; }

void RunScheduler::OnEventAcknowledgements(const RunEventAcknowledgements& acknowledgements) {
  const auto process_events = [this](const std::vector<RunEvent>& events, bool is_superseded) {
    for (const RunEvent& event : events) {
      this->UpdateService(event.service, [&](ServiceScheduler& scheduler, base::TimePoint now,
                                             SchedulerActions& actions) {
        scheduler.OnEventAcknowledgement(event, is_superseded, now, actions);
      });
    }
  };
  process_events(acknowledgements.acknowledged, false);
  process_events(acknowledgements.superseded, true);
}

void RunScheduler::Tick() {
  this->UpdateAllServices([](ServiceScheduler& scheduler, base::TimePoint now,
                             SchedulerActions& actions) { scheduler.Tick(now, actions); });
}

std::vector<CapacityReport::ServiceCapacity> RunScheduler::ServiceCapacities() {
  const base::TimePoint now = this->hooks.now();
  std::vector<CapacityReport::ServiceCapacity> capacities;
  this->shards.ForEachShard([&](Shard& shard) {
    for (const auto& [service, scheduler] : shard.service_schedulers) {
      CapacityReport::ServiceCapacity capacity = scheduler.Capacity(now);
      capacity.service = service;
      capacities.push_back(std::move(capacity));
    }
  });
  return capacities;
}

size_t RunScheduler::BatchCount() {
  size_t count = 0;
  this->shards.ForEachShard([&count](Shard& shard) {
    for (const auto& [service, scheduler] : shard.service_schedulers) {
      count += scheduler.BatchCount();
    }
  });
  return count;
}

void RunScheduler::ExecuteActions(const base::ServiceId& service, const SchedulerActions& actions) {
  for (const RunDecision& decision : actions.decisions) {
    this->hooks.on_decision(decision);
  }
  if (!actions.run_events.empty()) {
    this->hooks.on_run_events(actions.run_events);
  }
  for (const StartRequest& request : actions.start_requests) {
    this->hooks.start_run(request, [this, service, request](const TargetCallResponse& response) {
      this->UpdateService(service, [&](ServiceScheduler& scheduler, base::TimePoint now,
                                       SchedulerActions& further_actions) {
        scheduler.OnStartResponse(request, response, now, further_actions);
      });
    });
  }
  for (const StopRequest& request : actions.stop_requests) {
    this->hooks.stop_run(request, [this, service, request](const TargetCallResponse& response) {
      this->UpdateService(service, [&](ServiceScheduler& scheduler, base::TimePoint now,
                                       SchedulerActions& further_actions) {
        scheduler.OnStopResponse(request, response, now, further_actions);
      });
    });
  }
  for (const PollRequest& request : actions.poll_requests) {
    this->hooks.poll_target(request, [this, service, request](const PollResponse& response) {
      this->UpdateService(service, [&](ServiceScheduler& scheduler, base::TimePoint now,
                                       SchedulerActions& further_actions) {
        scheduler.OnPollResponse(request, response, now, further_actions);
      });
    });
  }
  for (const ReturnedTasks& returned : actions.returned_tasks) {
    this->hooks.on_tasks_returned(returned);
  }
  for (const BatchResult& result : actions.batch_results) {
    this->hooks.on_batch_end(result);
  }
}

}  // namespace sapphirecrank::runs
