#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/mutex.h"
#include "base/result.h"
#include "base/thread_annotations.h"
#include "base/timer_queue.h"
#include "cluster/catalog.h"
#include "cluster/cluster_update.h"
#include "clusterhost/cluster_host_settings.h"
#include "gateway/allocator_selector.h"
#include "gateway/job_dispatcher.h"
#include "observability/entry_host_metrics.h"
#include "peers/peer_network.h"
#include "stored/job_client.h"

namespace sapphirecrank::observability {
class Logger;
}  // namespace sapphirecrank::observability

namespace sapphirecrank::clusterhost {

/// A host that takes jobs from callers and places their tasks with allocators.
///
/// Thread safety: all methods may be called from any thread, but `Start`, `Drain` and the
/// destructor by one.
class GatewayHost {
 public:
  /// Reads the queues and services from a configuration's document.
  using DecodeCatalog =
      std::function<base::Result<cluster::Catalog>(const cluster::ConfigurationRecord&)>;

  GatewayHost(ClusterHostSettings settings, DecodeCatalog decode, observability::Logger& logger);
  ~GatewayHost();

  /// Errors: as `peers::PeerNetwork::Start`.
  base::Result<void> Start();

  /// Takes no new jobs and waits until all have their answer, for `limit` at most; then ends the
  /// rest.
  void Drain(base::Duration limit);

  /// Links with further allocators, after a change of the settings.
  void AddSeeds(const std::vector<base::NetworkAddress>& seeds);

  /// Returns the configuration in force, or null if there is none yet.
  std::shared_ptr<const cluster::Catalog> CurrentCatalog();

  /// Returns the jobs in hand, which aren't stored.
  gateway::JobDispatcher& job_dispatcher() { return this->dispatcher; }

  /// Returns the way to the stored jobs.
  stored::JobClient& stored_job_client() { return this->job_client; }

  /// Returns counters and latency histograms in Prometheus' text format.
  std::string MetricsText() const { return this->metrics.PrometheusText(); }

  /// Tells whether jobs can be served: there is a configuration and an allocator.
  bool IsReady();

 private:
  void OnMessage(const base::HostId& from, const protocol::Message& message);
  void OnClusterUpdate(const cluster::ClusterUpdate& update);
  void OnAllocatorLost(const base::HostId& host);
  void OnJobEnd(const gateway::Job& job, const gateway::JobResult& answer, base::Duration age);
  gateway::JobDispatcher::Hooks JobDispatcherHooks();
  stored::JobClient::Hooks JobClientHooks();
  peers::PeerNetwork::Hooks PeerHooks();

  ClusterHostSettings settings;
  DecodeCatalog decode_catalog;
  base::Clock now;
  observability::Logger& logger;

  base::Mutex catalog_mutex;
  std::shared_ptr<const cluster::Catalog> catalog GUARDED_BY(catalog_mutex);

  // Queues come with the configuration, so that their series are told apart by class only.
  observability::EntryHostMetrics metrics{std::vector<base::TeamId>()};
  gateway::AllocatorSelector allocator_selector;
  gateway::JobDispatcher dispatcher;
  stored::JobClient job_client;
  std::unique_ptr<peers::PeerNetwork> network;
  std::unique_ptr<base::TimerQueue> timer_queue;
};

}  // namespace sapphirecrank::clusterhost
