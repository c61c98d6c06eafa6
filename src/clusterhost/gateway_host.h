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
#include "cluster/configuration_record.h"
#include "clusterhost/cluster_host_settings.h"
#include "gateway/allocator_selector.h"
#include "gateway/configuration_fetcher.h"
#include "gateway/job_dispatcher.h"
#include "observability/placement_metrics.h"
#include "observability/request_metrics.h"
#include "peers/peer_network.h"
#include "stored/job_client.h"

namespace sapphirecrank::observability {
class Logger;
}  // namespace sapphirecrank::observability

namespace sapphirecrank::clusterhost {

/// A host that accepts jobs from callers and places their task batches with allocators.
///
/// Thread safety: all methods may be called from any thread, but `Start`, `Drain` and the
/// destructor must be called by the same thread.
class GatewayHost {
 public:
  /// Decodes the queues and services of a configuration. Errors: `kInvalidArgument`.
  using CatalogDecoder =
      std::function<base::Result<cluster::Catalog>(const cluster::ConfigurationRecord&)>;

  /// Precondition: `logger` outlives this object.
  GatewayHost(ClusterHostSettings settings, CatalogDecoder decode_catalog,
              observability::Logger& logger);
  ~GatewayHost();

  /// Starts the network and the timers. Errors: as `peers::PeerNetwork::Start`. Precondition:
  /// called once.
  base::Result<void> Start();

  /// Refuses new jobs and waits until all jobs and requests about stored jobs have their result,
  /// for `timeout` at most. Then ends the remaining jobs and waits until the sent messages are
  /// acknowledged, for 0.3 s at most.
  void Drain(base::Duration timeout);

  /// Connects to further allocators at these peer addresses; known ones are ignored. Precondition:
  /// started.
  void AddSeeds(const std::vector<base::NetworkAddress>& seeds);

  /// Returns the queues and services of the configuration in force, or null if none has arrived
  /// yet.
  std::shared_ptr<const cluster::Catalog> CurrentCatalog();

  /// Returns the dispatcher of the jobs that aren't stored.
  gateway::JobDispatcher& job_dispatcher() { return this->dispatcher; }

  /// Returns the client for requests about stored jobs.
  stored::JobClient& stored_job_client() { return this->job_client; }

  /// Returns counters and latency histograms in Prometheus' text format.
  std::string MetricsText() const {
    return this->metrics.PrometheusText() + this->placement_metrics.PrometheusText();
  }

  /// Tells whether jobs can be served: a configuration and the capacity of an allocator are known.
  bool IsReady();

 private:
  void OnMessage(const base::HostId& from, const protocol::Message& message);
  void OnClusterUpdate(const base::HostId& from, const cluster::ClusterUpdate& update);
  void OnConfiguration(const cluster::ConfigurationRecord& configuration);
  void OnAllocatorLost(const base::HostId& host);
  /// Ends or moves what an allocator has to do for this gateway and doesn't do any more.
  void EndRequestsTo(const base::HostId& host);
  void OnBatchMove(const gateway::BatchMove& move);
  void RecallBatch(const base::HostId& host, const runs::BatchRecall& recall);
  void OnJobEnd(const gateway::Job& job, const gateway::JobResult& result, base::Duration age);
  gateway::ConfigurationFetcher::Hooks ConfigurationFetcherHooks();
  gateway::JobDispatcher::Hooks JobDispatcherHooks();
  stored::JobClient::Hooks JobClientHooks();
  peers::PeerNetwork::Hooks PeerHooks();

  ClusterHostSettings settings;
  CatalogDecoder decode_catalog;
  base::Clock now;
  observability::Logger& logger;

  base::Mutex catalog_mutex;
  std::shared_ptr<const cluster::Catalog> catalog GUARDED_BY(catalog_mutex);

  // Queues aren't known at construction, as they come with the configuration. The metrics are
  // therefore separated by priority class only.
  observability::RequestMetrics metrics{std::vector<base::TeamId>()};
  observability::PlacementMetrics placement_metrics;
  gateway::ConfigurationFetcher configuration_fetcher;
  gateway::AllocatorSelector allocator_selector;
  gateway::JobDispatcher dispatcher;
  stored::JobClient job_client;
  std::unique_ptr<peers::PeerNetwork> network;
  std::unique_ptr<base::TimerQueue> timer_queue;
};

}  // namespace sapphirecrank::clusterhost
