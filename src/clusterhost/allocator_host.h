#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/mutex.h"
#include "base/result.h"
#include "base/sharded.h"
#include "base/thread_annotations.h"
#include "base/thread_pool.h"
#include "base/timer_queue.h"
#include "cluster/cluster_view.h"
#include "cluster/configuration_record.h"
#include "clusterhost/cluster_group.h"
#include "clusterhost/cluster_host_settings.h"
#include "clusterhost/evacuation_monitor.h"
#include "clusterhost/group_monitor.h"
#include "clusterhost/stored_job_manager.h"
#include "clusterhost/target_file.h"
#include "consensus/raft_membership.h"
#include "observability/allocator_metrics.h"
#include "peers/peer_network.h"
#include "runs/run_scheduler.h"

namespace sapphirecrank::observability {
class Logger;
}  // namespace sapphirecrank::observability

namespace sapphirecrank::clusterhost {

/// A host that owns targets and starts tasks on them. It is also a member of the Raft group that
/// replicates the configuration, the stored jobs, and the view that decides which host owns which
/// target.
///
/// Thread safety: all methods may be called from any thread, but `Start`, `Drain` and the
/// destructor must be called by the same thread.
class AllocatorHost {
 public:
  struct Settings {
    ClusterHostSettings host;
    ClusterGroup::Settings group;
    runs::SchedulerSettings scheduler;
    /// How long `Drain` waits for task batches to end.
    base::Duration drain_limit = std::chrono::seconds(4);
    /// How long the record of a stored job is kept after the job has ended.
    base::Duration job_retention = std::chrono::seconds(120);
    /// Data centres for which operators may order an evacuation, in addition to that of this host
    /// and those of known targets.
    std::set<base::DataCentreId> data_centres;
    /// Time from the acknowledgement of an evacuation until nothing more is started there. With it,
    /// a host that doesn't know the newest orders starts no runs; without it there is no such rule.
    std::optional<base::Duration> evacuation_limit;
  };

  template <typename Request, typename Response>
  using TargetCall = std::function<void(const Request&, std::function<void(const Response&)>)>;

  /// Calls to targets; see `runs::RunScheduler::Hooks`.
  struct TargetCalls {
    TargetCall<runs::StartRequest, runs::TargetCallResponse> start_run;
    TargetCall<runs::StopRequest, runs::TargetCallResponse> stop_run;
    TargetCall<runs::PollRequest, runs::PollResponse> poll_target;
  };

  /// The scheduler's timeouts for gateways are derived from `Settings::host`. Precondition:
  /// `logger` outlives this object.
  AllocatorHost(const Settings& settings, TargetCalls calls, observability::Logger& logger);
  ~AllocatorHost();

  /// Opens the stored state, loads the saved targets, and starts the network and the timers.
  /// Errors: as `ClusterGroup::Open` and `peers::PeerNetwork::Start`. Precondition: called once.
  base::Result<void> Start();

  /// Announces that this host is leaving and waits until all task batches have ended, for
  /// `Settings::drain_limit` at most. Meanwhile transfers leadership, waits until another
  /// host has taken over its vote if one can, up to 1 s after that limit, and for 0.5 s at most
  /// until the sent messages are acknowledged.
  void Drain();

  /// Connects to further allocators at these peer addresses; known ones are ignored. Precondition:
  /// started.
  void AddSeeds(const std::vector<base::NetworkAddress>& seeds);

  /// Records a target's report, forwards it to the host that owns the target and returns that host.
  /// Error: `kUnavailable` if there is no owner or it is unreachable; the target then has to report
  /// to another allocator.
  base::Result<base::HostId> OnTargetReport(const runs::TargetReport& report);

  /// Records that a target has left. Does nothing if no report of the target is known here. Errors:
  /// as `OnTargetReport`.
  base::Result<void> OnTargetLeave(const base::TargetId& target);

  /// See `ClusterGroup::PutConfiguration`.
  void PutConfiguration(cluster::ConfigurationRecord record,
                        ClusterGroup::ProposalCallback callback);

  /// See `ClusterGroup::ReadConfiguration`.
  void ReadConfiguration(ClusterGroup::ReadCallback callback);

  /// Tells whether operators may order an evacuation of this data centre.
  bool IsKnownDataCentre(const base::DataCentreId& data_centre);

  /// Orders the start or the finish of an evacuation; see `ClusterGroup::ProposeEvacuation`.
  /// Precondition: started, and the data centre is known.
  void StartEvacuation(const base::DataCentreId& data_centre,
                       ClusterGroup::ProposalCallback callback);
  void FinishEvacuation(const base::DataCentreId& data_centre,
                        ClusterGroup::ProposalCallback callback);

  /// Returns the evacuations on which this host acts at present.
  cluster::EvacuationState Evacuations();

  /// Returns how many runs may be active on this host's targets, by data centre.
  std::map<base::DataCentreId, size_t> RunCounts() { return this->scheduler.RunCounts(); }

  /// Returns the host that leads the group, or an empty id if none is known.
  base::HostId Leader();

  /// Returns counters and histograms in Prometheus' text format.
  std::string MetricsText() const { return this->metrics.PrometheusText(); }

 private:
  struct KnownTarget {
    runs::TargetReport report;
    base::TimePoint last_heard_at;
  };

  void OnMessage(const base::HostId& from, const protocol::Message& message);
  void OnPeerUp(const base::HostId& host, base::Incarnation incarnation);
  void OnPeerLost(const base::HostId& host);
  void OnClusterStateChange(const cluster::ConfigurationRecord& record,
                            const cluster::ClusterView& new_view,
                            const cluster::EvacuationState& new_evacuations);
  void OrderEvacuation(cluster::EvacuationOrder::Kind kind, const base::DataCentreId& data_centre,
                       ClusterGroup::ProposalCallback callback);
  /// Limits the time for which runs may be started, if the settings say so.
  void UpdateStartLimit(const consensus::RaftStatus& status);
  void OnBatchEnd(const runs::BatchResult& result);
  void OnTasksReturned(const runs::ReturnedTasks& returned);
  void OnDecision(const runs::RunDecision& decision);
  void RecordTargetReport(const runs::TargetReport& report);
  /// Sends the report of a draining target to the allocators that don't own it. Otherwise one of
  /// them that becomes its owner would start runs there because of an older report.
  void ForwardToOtherAllocators(const runs::TargetReport& report, const base::HostId& owner);
  /// Connects to the members of the group. After a restart of all hosts, the log may be the only
  /// place that names the voters: seeds may be other hosts, and there is no view without a leader.
  void ConnectToMembers(const consensus::RaftMembership& membership);
  /// Tells whether the host is this one or a reachable allocator.
  bool IsReachable(const base::HostId& host);
  /// Records that the process at `host` is an allocator.
  void RecordAllocator(const base::HostId& host);
  bool IsLeaving(const base::HostId& host);
  std::optional<cluster::ClusterView::Member> ReachableMember(const base::HostId& host);
  const cluster::ClusterView::Member* FindOwner(const runs::TargetReport& report)
      REQUIRES(state_mutex);
  bool IsSelf(const cluster::ClusterView::Member& member) const;
  void SendClusterUpdate(const base::HostId& host);
  void SendConfiguration(const base::HostId& host);
  /// Sends a `ClusterUpdate` to all reachable hosts if the state has changed since the last one.
  void AnnounceStateIfChanged();
  void ReportCapacity();
  void LoadTargets();
  void RemoveSilentTargets();
  void SaveTargets();
  runs::RunScheduler::Hooks SchedulerHooks(TargetCalls calls);
  /// Wraps `call` so that its duration is recorded in the metrics under `name`.
  template <typename Request, typename Response>
  TargetCall<Request, Response> WithCallMetrics(const char* name,
                                                TargetCall<Request, Response> call);
  std::unique_ptr<ClusterGroup> MakeGroup();
  StoredJobManager::Hooks JobManagerHooks();
  peers::PeerNetwork::Hooks PeerHooks();

  Settings settings;
  base::HostId self;
  base::Clock now;
  observability::Logger& logger;
  observability::AllocatorMetrics metrics;

  base::Mutex state_mutex;
  cluster::ClusterView view GUARDED_BY(state_mutex);
  cluster::ConfigurationRecord configuration GUARDED_BY(state_mutex);
  cluster::EvacuationState evacuations GUARDED_BY(state_mutex);
  base::HostId leader GUARDED_BY(state_mutex);
  std::map<base::HostId, base::Incarnation> reachable_hosts GUARDED_BY(state_mutex);
  std::set<base::HostId> leaving_hosts GUARDED_BY(state_mutex);
  // Hosts whose present process has sent a message that only allocators send. A gateway may use the
  // address of a member that is gone.
  std::set<base::HostId> allocator_hosts GUARDED_BY(state_mutex);
  std::map<base::TargetId, KnownTarget> targets GUARDED_BY(state_mutex);
  runs::CapacityReport last_capacity_report GUARDED_BY(state_mutex);
  base::TimePoint last_capacity_report_at GUARDED_BY(state_mutex);
  bool is_announcement_due GUARDED_BY(state_mutex) = false;
  /// This process is a member of `view`.
  bool is_in_view GUARDED_BY(state_mutex) = false;
  bool is_leaving GUARDED_BY(state_mutex) = false;

  // Used on the group's thread only.
  consensus::RaftMembership connected_membership;
  GroupMonitor group_monitor;
  EvacuationMonitor evacuation_monitor;
  // The time up to which this host has applied all committed entries. It doesn't go back when the
  // group's disk is reopened, because the state that was announced stays in force.
  base::TimePoint up_to_date_as_of;
  StoredJobManager job_manager;
  runs::RunScheduler scheduler;
  // After the start these two are used on `target_file_thread` only, because saving waits for
  // synced writes.
  TargetFile target_file;
  std::vector<std::pair<base::TargetId, base::Incarnation>> saved_target_incarnations;
  std::unique_ptr<base::ThreadPool> target_file_thread;
  std::unique_ptr<ClusterGroup> group;
  std::unique_ptr<peers::PeerNetwork> network;
  std::unique_ptr<base::TimerQueue> timer_queue;
};

}  // namespace sapphirecrank::clusterhost
