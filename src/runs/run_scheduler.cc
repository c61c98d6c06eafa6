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
  SchedulerActions actions;
  const bool has_messages = this->shards.WithShard(service, [&](Shard& shard) {
    // The time is read under the lock, because starts may be forbidden after a certain time.
    const base::TimePoint now = this->hooks.now();
    auto [scheduler, is_new] = shard.service_schedulers.try_emplace(service, this->settings);
    if (is_new) {
      scheduler->second.SetStartPermission(this->CurrentStartPermission(), now, actions);
    }
    function(scheduler->second, now, actions);
    return shard.message_queue.Add(actions);
  });
  this->ExecuteActions(service, actions);
  if (has_messages) {
    this->DeliverMessages(service);
  }
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

void RunScheduler::RecallBatch(const base::HostId& gateway, const BatchRecall& recall) {
  const BatchKey key{gateway, recall.job, recall.batch};
  this->UpdateAllServices(
      [&key](ServiceScheduler& scheduler, base::TimePoint now, SchedulerActions& actions) {
        scheduler.RecallBatch(key, now, actions);
      });
}

void RunScheduler::SetEvacuatedDataCentres(const std::set<base::DataCentreId>& data_centres) {
  {
    base::MutexLock lock(this->start_permission_mutex);
    this->start_permission.SetEvacuatedDataCentres(data_centres);
  }
  this->ApplyStartPermission();
}

void RunScheduler::AllowStartsUntil(base::TimePoint until) {
  {
    base::MutexLock lock(this->start_permission_mutex);
    this->start_permission.AllowUntil(until);
  }
  this->ApplyStartPermission();
}

StartPermission RunScheduler::CurrentStartPermission() {
  base::MutexLock lock(this->start_permission_mutex);
  return this->start_permission;
}

void RunScheduler::ApplyStartPermission() {
  // Each scheduler gets the permission that is valid once it is locked, so that calls on several
  // threads can't leave an earlier one behind.
  this->UpdateAllServices(
      [this](ServiceScheduler& scheduler, base::TimePoint now, SchedulerActions& actions) {
        scheduler.SetStartPermission(this->CurrentStartPermission(), now, actions);
      });
}

std::map<base::DataCentreId, size_t> RunScheduler::RunCounts() {
  std::map<base::DataCentreId, size_t> counts;
  this->shards.ForEachShard([&counts](Shard& shard) {
    for (const auto& [service, scheduler] : shard.service_schedulers) {
      scheduler.AddRunCounts(counts);
    }
  });
  return counts;
}

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
}

void RunScheduler::DeliverMessages(const base::ServiceId& service) {
  std::vector<AllocatorMessageQueue::Message> messages = this->shards.WithShard(
      service, [](Shard& shard) { return shard.message_queue.BeginDelivery(); });
  while (!messages.empty()) {
    for (const AllocatorMessageQueue::Message& message : messages) {
      if (const auto* returned = std::get_if<ReturnedTasks>(&message)) {
        this->hooks.on_tasks_returned(*returned);
      } else if (const auto* result = std::get_if<BatchResult>(&message)) {
        this->hooks.on_batch_end(*result);
      } else {
        this->hooks.on_run_events(std::get<std::vector<RunEvent>>(message));
      }
    }
    messages = this->shards.WithShard(
        service, [](Shard& shard) { return shard.message_queue.ContinueDelivery(); });
  }
}

}  // namespace sapphirecrank::runs
