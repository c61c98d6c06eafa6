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
  SchedulerActions effects;
  this->shards.WithShard(service, [&](Shard& shard) {
    auto pool = shard.service_schedulers.try_emplace(service, this->settings).first;
    function(pool->second, now, effects);
  });
  this->ExecuteActions(service, effects);
}

template <typename Function>
void RunScheduler::UpdateAllServices(Function function) {
  std::vector<base::ServiceId> services;
  this->shards.ForEachShard([&services](Shard& shard) {
    for (const auto& [service, pool] : shard.service_schedulers) {
      services.push_back(service);
    }
  });
  for (const base::ServiceId& service : services) {
    this->UpdateService(service, function);
  }
}

void RunScheduler::OnTargetReport(const TargetReport& report, base::FencingToken token) {
  this->UpdateService(report.service,
                      [&](ServiceScheduler& pool, base::TimePoint now, SchedulerActions& effects) {
                        pool.OnTargetReport(report, token, now, effects);
                      });
}

void RunScheduler::OnOwnershipChange(base::FencingToken token, bool was_owner,
                                     const ServiceScheduler::IsTargetOwned& is_owned,
                                     const std::vector<TargetReport>& owned) {
  // With the new token, which both owners have, runs could be started on given up targets beside
  // those of their owner.
  this->UpdateAllServices(
      [&](ServiceScheduler& pool, base::TimePoint now, SchedulerActions& effects) {
        pool.ReleaseUnownedTargets(is_owned, now, effects);
      });
  this->UpdateAllServices(
      [&](ServiceScheduler& pool, base::TimePoint now, SchedulerActions& effects) {
        pool.SetFencingToken(token, was_owner, now, effects);
      });
  for (const TargetReport& report : owned) {
    this->OnTargetReport(report, token);
  }
}

void RunScheduler::OnGatewayAlive(const base::HostId& gateway, base::TimePoint alive_at) {
  {
    base::MutexLock lock(this->gateway_last_alive_mutex);
    base::TimePoint& known = this->gateway_last_alive_at[gateway];
    known = std::max(known, alive_at);
  }
  this->UpdateAllServices(
      [&](ServiceScheduler& pool, base::TimePoint now, SchedulerActions& effects) {
        pool.OnGatewayAlive(gateway, alive_at, now, effects);
      });
}

base::TimePoint RunScheduler::GatewayLastAliveAt(const base::HostId& gateway) {
  base::MutexLock lock(this->gateway_last_alive_mutex);
  auto found = this->gateway_last_alive_at.find(gateway);
  return found == this->gateway_last_alive_at.end() ? base::TimePoint() : found->second;
}

void RunScheduler::PlaceBatch(TaskBatch part) {
  const base::ServiceId service = part.service;
  // The service's pool may be new.
  const base::TimePoint alive_at = this->GatewayLastAliveAt(part.key.gateway);
  this->UpdateService(service,
                      [&](ServiceScheduler& pool, base::TimePoint now, SchedulerActions& effects) {
                        pool.OnGatewayAlive(part.key.gateway, alive_at, now, effects);
                        pool.PlaceBatch(std::move(part), now, effects);
                      });
}

void RunScheduler::CancelJob(const base::HostId& gateway, const base::SubmissionId& job) {
  this->UpdateAllServices(
      [&](ServiceScheduler& pool, base::TimePoint now, SchedulerActions& effects) {
        pool.CancelJob(gateway, job, now, effects);
      });
}

void RunScheduler::CancelJobsOfGateway(const base::HostId& gateway) {
  this->UpdateAllServices(
      [&](ServiceScheduler& pool, base::TimePoint now, SchedulerActions& effects) {
        pool.CancelJobsOfGateway(gateway, now, effects);
      });
}

void RunScheduler::OnEventAcknowledgements(const RunEventAcknowledgements& answers) {
  const auto take = [this](const std::vector<RunEvent>& notices, bool is_outdated) {
    for (const RunEvent& notice : notices) {
      this->UpdateService(notice.service, [&](ServiceScheduler& pool, base::TimePoint now,
                                              SchedulerActions& effects) {
        pool.OnEventAcknowledgement(notice, is_outdated, now, effects);
      });
    }
  };
  take(answers.acknowledged, false);
  take(answers.superseded, true);
}

void RunScheduler::Tick() {
  this->UpdateAllServices([](ServiceScheduler& pool, base::TimePoint now,
                             SchedulerActions& effects) { pool.Tick(now, effects); });
}

std::vector<CapacityReport::ServiceCapacity> RunScheduler::ServiceCapacities() {
  const base::TimePoint now = this->hooks.now();
  std::vector<CapacityReport::ServiceCapacity> rooms;
  this->shards.ForEachShard([&](Shard& shard) {
    for (const auto& [service, pool] : shard.service_schedulers) {
      CapacityReport::ServiceCapacity room = pool.Capacity(now);
      room.service = service;
      rooms.push_back(std::move(room));
    }
  });
  return rooms;
}

size_t RunScheduler::BatchCount() {
  size_t count = 0;
  this->shards.ForEachShard([&count](Shard& shard) {
    for (const auto& [service, pool] : shard.service_schedulers) {
      count += pool.BatchCount();
    }
  });
  return count;
}

void RunScheduler::ExecuteActions(const base::ServiceId& service, const SchedulerActions& effects) {
  for (const RunDecision& decision : effects.decisions) {
    this->hooks.on_decision(decision);
  }
  if (!effects.run_events.empty()) {
    this->hooks.on_run_events(effects.run_events);
  }
  for (const StartRequest& order : effects.start_requests) {
    this->hooks.start_run(order, [this, service, order](const TargetCallResponse& answer) {
      this->UpdateService(service,
                          [&](ServiceScheduler& pool, base::TimePoint now, SchedulerActions& more) {
                            pool.OnStartResponse(order, answer, now, more);
                          });
    });
  }
  for (const StopRequest& order : effects.stop_requests) {
    this->hooks.stop_run(order, [this, service, order](const TargetCallResponse& answer) {
      this->UpdateService(service,
                          [&](ServiceScheduler& pool, base::TimePoint now, SchedulerActions& more) {
                            pool.OnStopResponse(order, answer, now, more);
                          });
    });
  }
  for (const PollRequest& order : effects.poll_requests) {
    this->hooks.poll_target(order, [this, service, order](const PollResponse& answer) {
      this->UpdateService(service,
                          [&](ServiceScheduler& pool, base::TimePoint now, SchedulerActions& more) {
                            pool.OnPollResponse(order, answer, now, more);
                          });
    });
  }
  for (const BatchResult& end : effects.batch_results) {
    this->hooks.on_batch_end(end);
  }
}

}  // namespace sapphirecrank::runs
