#include "clusterhost/gateway_host.h"

#include <algorithm>
#include <random>
#include <thread>
#include <utility>

#include "base/mutex_lock.h"
#include "clusterhost/peer_setup.h"
#include "observability/log_field.h"
#include "observability/logger.h"
#include "runs/batch_cancel.h"

namespace sapphirecrank::clusterhost {

using base::HostId;
using base::MutexLock;

namespace {

constexpr base::Duration kTickInterval = std::chrono::milliseconds(25);
constexpr base::Duration kDrainPollInterval = std::chrono::milliseconds(20);
constexpr base::Duration kDeliveryTimeout = std::chrono::milliseconds(300);

const char* OutcomeName(gateway::JobResult::Outcome outcome) {
  switch (outcome) {
    case gateway::JobResult::Outcome::kCompleted:
      return "completed";
    case gateway::JobResult::Outcome::kFailed:
      return "failed";
    case gateway::JobResult::Outcome::kNotRun:
      return "not_run";
    case gateway::JobResult::Outcome::kUnfinished:
      return "unfinished";
  }
  return "unfinished";
}

/// Maps a job's priority to a class of the metrics: 0 and below to urgent, 1 to ordinary, the rest
/// to bulk.
base::PriorityClass PriorityClassOf(const gateway::Job& job) {
  if (job.priority <= base::Priority(0)) {
    return base::PriorityClass::kUrgent;
  }
  return job.priority == base::Priority(1) ? base::PriorityClass::kOrdinary
                                           : base::PriorityClass::kBulk;
}

std::string_view CauseName(gateway::BatchMove::Cause cause) {
  switch (cause) {
    case gateway::BatchMove::Cause::kReturned:
      return "returned";
    case gateway::BatchMove::Cause::kRecalled:
      return "recalled";
    case gateway::BatchMove::Cause::kNotRun:
      return "not_run";
  }
  return "returned";
}

/// Returns a random number, at least 0 and less than 1.
double RandomUnit() {
  thread_local std::mt19937_64 generator{std::random_device()()};
  return std::uniform_real_distribution<double>()(generator);
}

int64_t MillisecondsOf(base::Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

}  // namespace

GatewayHost::GatewayHost(ClusterHostSettings settings, CatalogDecoder decode_catalog,
                         observability::Logger& logger)
    : settings(std::move(settings)),
      decode_catalog(std::move(decode_catalog)),
      now(base::SteadyClock()),
      logger(logger),
      configuration_fetcher(this->ConfigurationFetcherHooks()),
      allocator_selector(this->settings.data_centre, this->now),
      dispatcher(HostId(this->settings.advertised_peer_address.value()),
                 this->JobDispatcherHooks()),
      job_client(this->JobClientHooks(),
                 base::JobRequestNumber(this->settings.incarnation.value())),
      network(std::make_unique<peers::PeerNetwork>(MakePeerNetworkSettings(this->settings),
                                                   this->PeerHooks())) {}

GatewayHost::~GatewayHost() {
  this->timer_queue.reset();
  this->network->Stop();
}

gateway::ConfigurationFetcher::Hooks GatewayHost::ConfigurationFetcherHooks() {
  gateway::ConfigurationFetcher::Hooks hooks;
  hooks.now = this->now;
  hooks.request_configuration = [this](const HostId& host) {
    return this->network->SendReliably(host, cluster::ConfigurationRequest());
  };
  return hooks;
}

gateway::JobDispatcher::Hooks GatewayHost::JobDispatcherHooks() {
  gateway::JobDispatcher::Hooks hooks;
  hooks.now = this->now;
  hooks.choose_allocator = [this](const gateway::AllocatorRequest& request) {
    return this->allocator_selector.ChooseAllocator(request);
  };
  hooks.expected_wait = [this](const base::ServiceId& service, base::TaskCount count,
                               const runs::TaskRequirements& requirements,
                               base::Priority priority) {
    return this->allocator_selector.ExpectedWait(service, count, requirements, priority);
  };
  hooks.place_batch = [this](const HostId& host, const runs::TaskBatch& batch) {
    return this->network->SendReliably(host, batch);
  };
  hooks.cancel_job = [this](const HostId& host, const base::SubmissionId& job) {
    // An allocator that can't be reached cancels the jobs of a lost gateway by itself.
    (void)this->network->SendReliably(host, runs::BatchCancel{job});
  };
  hooks.on_job_end = [this](const gateway::Job& job, const gateway::JobResult& result,
                            base::Duration age) { this->OnJobEnd(job, result, age); };
  hooks.on_allocator_unreachable = [this](const HostId& host) {
    this->allocator_selector.OnAllocatorLost(host);
  };
  hooks.allocator_capacities = [this] { return this->allocator_selector.RecentCapacities(); };
  hooks.recall_batch = [this](const HostId& host, const runs::BatchRecall& recall) {
    this->RecallBatch(host, recall);
  };
  hooks.on_batch_move = [this](const gateway::BatchMove& move) { this->OnBatchMove(move); };
  hooks.random_unit = &RandomUnit;
  return hooks;
}

stored::JobClient::Hooks GatewayHost::JobClientHooks() {
  stored::JobClient::Hooks hooks;
  hooks.now = this->now;
  hooks.reachable_allocators = [this] {
    std::vector<HostId> hosts = this->network->ReachablePeers();
    hosts.erase(std::remove_if(hosts.begin(), hosts.end(),
                               [this](const HostId& host) {
                                 return !this->allocator_selector.HasReportOf(host);
                               }),
                hosts.end());
    return hosts;
  };
  hooks.send_request = [this](const HostId& host, const stored::JobRequest& request) {
    return this->network->SendReliably(host, request);
  };
  return hooks;
}

peers::PeerNetwork::Hooks GatewayHost::PeerHooks() {
  peers::PeerNetwork::Hooks hooks;
  hooks.now = this->now;
  hooks.on_message = [this](const HostId& from, const protocol::Message& message) {
    this->OnMessage(from, message);
  };
  hooks.on_peer_up = [this](const HostId& host, base::Incarnation /*incarnation*/) {
    this->logger.Info("allocator reachable", {{"host", host.value()}});
  };
  hooks.on_peer_lost = [this](const HostId& host) { this->OnAllocatorLost(host); };
  hooks.on_session_reset = [this](const HostId& host) {
    // The allocator has cancelled all batches that this gateway had placed there.
    this->logger.Warning("allocator had declared this gateway lost and cancelled its batches",
                         {{"host", host.value()}});
    this->EndRequestsTo(host);
  };
  hooks.on_heartbeat_acknowledged = [](const HostId& /*host*/, base::TimePoint /*sent*/) {};
  hooks.make_heartbeat = [] { return protocol::Heartbeat(); };
  hooks.on_connection_error = [this](const HostId& host, const std::string& reason) {
    this->logger.Warning("peer connection failed", {{"host", host.value()}, {"reason", reason}});
  };
  return hooks;
}

base::Result<void> GatewayHost::Start() {
  const auto started = this->network->Start();
  if (!started) {
    return started;
  }
  this->timer_queue = std::make_unique<base::TimerQueue>("timers");
  this->timer_queue->RunEvery(kTickInterval, [this] {
    this->configuration_fetcher.Tick();
    this->dispatcher.Tick();
    this->dispatcher.RecallWaitingBatches();
    this->job_client.Tick();
  });
  return {};
}

void GatewayHost::Drain(base::Duration timeout) {
  this->dispatcher.RefuseNewJobs();
  const base::TimePoint deadline = this->now() + timeout;
  while (this->dispatcher.JobCount() + this->job_client.PendingRequestCount() > 0 &&
         this->now() < deadline) {
    std::this_thread::sleep_for(kDrainPollInterval);
  }
  this->dispatcher.EndAllJobs("the gateway is shutting down");
  this->network->WaitUntilDelivered(kDeliveryTimeout);
}

void GatewayHost::AddSeeds(const std::vector<base::NetworkAddress>& seeds) {
  for (const base::NetworkAddress& seed : seeds) {
    this->network->AddPeer(MakePeerAddress(seed));
  }
}

std::shared_ptr<const cluster::Catalog> GatewayHost::CurrentCatalog() {
  MutexLock lock(this->catalog_mutex);
  return this->catalog;
}

bool GatewayHost::IsReady() {
  return this->CurrentCatalog() != nullptr && this->allocator_selector.HasReports();
}

void GatewayHost::OnMessage(const HostId& from, const protocol::Message& message) {
  if (const auto* result = std::get_if<runs::BatchResult>(&message)) {
    this->dispatcher.OnBatchEnd(from, *result);
  } else if (const auto* report = std::get_if<runs::CapacityReport>(&message)) {
    this->allocator_selector.OnCapacityReport(from, *report);
    this->dispatcher.RecallWaitingBatches();
  } else if (const auto* returned = std::get_if<runs::ReturnedTasks>(&message)) {
    this->dispatcher.OnTasksReturned(from, *returned);
  } else if (const auto* response = std::get_if<stored::JobResponse>(&message)) {
    this->job_client.OnResponse(from, *response);
  } else if (const auto* update = std::get_if<cluster::ClusterUpdate>(&message)) {
    this->OnClusterUpdate(from, *update);
  } else if (const auto* configuration = std::get_if<cluster::ConfigurationResponse>(&message)) {
    this->configuration_fetcher.OnResponse(from, configuration->configuration.version);
    this->OnConfiguration(configuration->configuration);
  }
}

void GatewayHost::OnClusterUpdate(const HostId& from, const cluster::ClusterUpdate& update) {
  this->AddSeeds(update.allocator_addresses);
  this->configuration_fetcher.OnAnnouncement(
      from, update.configuration_version,
      this->network->PeerDataCentre(from) == this->settings.data_centre);
}

void GatewayHost::OnConfiguration(const cluster::ConfigurationRecord& configuration) {
  const auto current_catalog = this->CurrentCatalog();
  if (current_catalog != nullptr && configuration.version <= current_catalog->version) {
    return;
  }
  auto decoded = this->decode_catalog(configuration);
  const std::string version = std::to_string(configuration.version.value());
  if (!decoded) {
    this->logger.Error("configuration not applied: it can't be decoded",
                       {{"version", version}, {"reason", decoded.error().message}});
    return;
  }
  {
    MutexLock lock(this->catalog_mutex);
    if (this->catalog != nullptr && this->catalog->version >= decoded->version) {
      return;
    }
    this->catalog = std::make_shared<const cluster::Catalog>(std::move(*decoded));
  }
  this->logger.Info("configuration applied", {{"version", version}});
}

void GatewayHost::OnAllocatorLost(const HostId& host) {
  this->logger.Warning("allocator unreachable", {{"host", host.value()}});
  this->EndRequestsTo(host);
}

void GatewayHost::EndRequestsTo(const HostId& host) {
  this->configuration_fetcher.OnAllocatorLost(host);
  this->allocator_selector.OnAllocatorLost(host);
  this->dispatcher.OnAllocatorLost(host);
  this->job_client.OnAllocatorLost(host);
}

void GatewayHost::OnBatchMove(const gateway::BatchMove& move) {
  const std::string_view cause = CauseName(move.cause);
  this->placement_metrics.OnBatchMove(cause);
  this->logger.Info("tasks placed again", {{"job", move.job.value()},
                                           {"tasks", std::to_string(move.task_count.value())},
                                           {"from", move.from.value()},
                                           {"to", move.to.value()},
                                           {"cause", std::string(cause)},
                                           {"reason", move.reason}});
}

void GatewayHost::RecallBatch(const HostId& host, const runs::BatchRecall& recall) {
  this->placement_metrics.OnBatchRecall();
  this->logger.Info("task batch recalled", {{"job", recall.job.value()},
                                            {"part", std::to_string(recall.batch.value())},
                                            {"host", host.value()}});
  // Without a connection the allocator is about to be declared lost, which ends the job.
  (void)this->network->SendReliably(host, recall);
}

void GatewayHost::OnJobEnd(const gateway::Job& job, const gateway::JobResult& result,
                           base::Duration age) {
  if (result.outcome == gateway::JobResult::Outcome::kCompleted) {
    this->metrics.OnCompleteResponse(base::TeamId(job.queue.value()), PriorityClassOf(job), age,
                                     base::Duration(0));
  } else {
    this->metrics.OnErrorResponse({result.outcome == gateway::JobResult::Outcome::kNotRun
                                       ? base::ErrorCode::kOverloaded
                                       : base::ErrorCode::kTargetFailed,
                                   "", result.reason,
                                   result.outcome == gateway::JobResult::Outcome::kNotRun
                                       ? base::ExecutionVerdict::kNotRun
                                       : base::ExecutionVerdict::kMayHaveRun});
  }
  this->logger.Info("job ended",
                    {{"job", job.id.value()},
                     {"request", job.request_id},
                     {"queue", job.queue.value()},
                     {"outcome", OutcomeName(result.outcome)},
                     {"age_ms", std::to_string(MillisecondsOf(age))},
                     {"time_left_ms", std::to_string(MillisecondsOf(job.time_left))},
                     {"configuration", std::to_string(job.configuration_version.value())},
                     {"reason", result.reason}});
}

}  // namespace sapphirecrank::clusterhost
