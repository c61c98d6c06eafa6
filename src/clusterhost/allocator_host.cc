#include "clusterhost/allocator_host.h"

#include <fmt/format.h>

#include <algorithm>
#include <thread>
#include <utility>

#include "base/mutex_lock.h"
#include "cluster/cluster_update.h"
#include "cluster/member_name.h"
#include "clusterhost/peer_setup.h"
#include "consensus/raft_status.h"
#include "observability/log_field.h"
#include "observability/logger.h"

namespace sapphirecrank::clusterhost {

using base::HostId;
using base::MutexLock;
using cluster::ClusterView;

namespace {

constexpr base::Duration kGroupTickInterval = std::chrono::milliseconds(25);
constexpr base::Duration kSchedulerTickInterval = std::chrono::milliseconds(20);
constexpr base::Duration kCapacityReportInterval = std::chrono::milliseconds(50);
// An unchanged report is repeated, so that its receivers notice when this host falls silent.
constexpr base::Duration kCapacityReportRepeatInterval = std::chrono::milliseconds(100);
// In a storm of configuration changes, one announcement covers several.
constexpr base::Duration kAnnouncementInterval = std::chrono::milliseconds(50);
// Targets come and go within seconds; the saved list may be slightly out of date. The interval is
// well below the time for which a draining target may still get runs after it was acknowledged.
constexpr base::Duration kTargetSaveInterval = std::chrono::milliseconds(500);
constexpr base::Duration kDrainPollInterval = std::chrono::milliseconds(20);
constexpr base::Duration kDeliveryTimeout = std::chrono::milliseconds(500);
// Enough for an announcement by heartbeat and two commits.
constexpr base::Duration kVoteHandoverTimeout = std::chrono::milliseconds(1000);
// A host that doesn't know the newest orders stops starting runs before the evacuation limit. A
// start request may be on its way until the end of the lease that it names, after which the target
// refuses it; in addition to the longest lease, this covers the time between two updates of the
// limit and the time until the scheduler has the state.
constexpr base::Duration kStartLimitMargin = std::chrono::milliseconds(200);

std::string TaskKeyText(const runs::RunKey& key) {
  if (key.task.job.empty()) {
    return "";
  }
  return fmt::format("{}.{}.{}.{}", key.task.job.value(), key.task.occurrence.value(),
                     key.task.step.value(), key.task.index.value());
}

AllocatorHost::Settings WithGatewayTimeouts(AllocatorHost::Settings settings) {
  settings.scheduler.gateway_timeout = settings.host.EffectiveHostTimeout();
  settings.scheduler.lease_after_gateway_contact = settings.host.LeaseAfterGatewayContact();
  return settings;
}

}  // namespace

AllocatorHost::AllocatorHost(const Settings& settings, TargetCalls calls,
                             observability::Logger& logger)
    : settings(WithGatewayTimeouts(settings)),
      self(this->settings.host.advertised_peer_address.value()),
      now(base::SteadyClock()),
      logger(logger),
      group_monitor({this->now, [this](const HostId& host) { return this->IsReachable(host); }},
                    logger, this->metrics),
      evacuation_monitor({this->now, [this] { return this->RunCounts(); }}, logger, this->metrics),
      job_manager({this->self, this->settings.host.data_centre, this->settings.job_retention,
                   this->settings.host.LostRunDelay(this->settings.scheduler.maximum_lease)},
                  this->JobManagerHooks(), logger),
      scheduler(this->settings.scheduler, this->SchedulerHooks(std::move(calls))),
      target_file(this->settings.group.file_system, this->settings.group.data_folder),
      target_file_thread(std::make_unique<base::ThreadPool>("target-file", 1)),
      group(this->MakeGroup()),
      network(std::make_unique<peers::PeerNetwork>(MakePeerNetworkSettings(this->settings.host),
                                                   this->PeerHooks())) {}

AllocatorHost::~AllocatorHost() {
  this->timer_queue.reset();
  this->target_file_thread.reset();
  this->network->Stop();
  this->group->Stop();
}

runs::RunScheduler::Hooks AllocatorHost::SchedulerHooks(TargetCalls calls) {
  runs::RunScheduler::Hooks hooks;
  hooks.now = this->now;
  hooks.start_run = this->WithCallMetrics<runs::StartRequest, runs::TargetCallResponse>(
      "start", std::move(calls.start_run));
  hooks.stop_run = this->WithCallMetrics<runs::StopRequest, runs::TargetCallResponse>(
      "stop", std::move(calls.stop_run));
  hooks.poll_target = this->WithCallMetrics<runs::PollRequest, runs::PollResponse>(
      "look", std::move(calls.poll_target));
  hooks.on_batch_end = [this](const runs::BatchResult& result) { this->OnBatchEnd(result); };
  hooks.on_tasks_returned = [this](const runs::ReturnedTasks& returned) {
    this->OnTasksReturned(returned);
  };
  hooks.on_decision = [this](const runs::RunDecision& decision) { this->OnDecision(decision); };
  hooks.on_run_events = [this](const std::vector<runs::RunEvent>& events) {
    this->job_manager.OnRunEvents(events);
  };
  return hooks;
}

StoredJobManager::Hooks AllocatorHost::JobManagerHooks() {
  StoredJobManager::Hooks hooks;
  hooks.now = this->now;
  hooks.leader = [this] { return this->Leader(); };
  hooks.send = [this](const HostId& host, protocol::Message message) {
    return this->network->SendReliably(host, std::move(message));
  };
  hooks.propose_job_change = [this](std::string change, ClusterGroup::ProposalCallback callback) {
    this->group->ProposeJobChange(std::move(change), std::move(callback));
  };
  hooks.place_batch_locally = [this](const runs::TaskBatch& batch) {
    this->scheduler.PlaceBatch(batch);
  };
  hooks.cancel_job_locally = [this](const base::SubmissionId& job) {
    this->scheduler.CancelJob(this->self, job);
  };
  hooks.acknowledge_events_locally =
      [this](const runs::RunEventAcknowledgements& acknowledgements) {
        this->scheduler.OnEventAcknowledgements(acknowledgements);
      };
  return hooks;
}

template <typename Request, typename Response>
AllocatorHost::TargetCall<Request, Response> AllocatorHost::WithCallMetrics(
    const char* name, TargetCall<Request, Response> call) {
  return [this, name, call = std::move(call)](const Request& request,
                                              const std::function<void(const Response&)>& done) {
    call(request, [this, name, done, sent_at = this->now()](const Response& response) {
      const bool has_response = response.status != runs::TargetCallStatus::kNoResponse &&
                                response.status != runs::TargetCallStatus::kNotSent;
      this->metrics.OnTargetCall(name, has_response, this->now() - sent_at);
      done(response);
    });
  };
}

std::unique_ptr<ClusterGroup> AllocatorHost::MakeGroup() {
  ClusterGroup::Hooks hooks;
  hooks.now = this->now;
  hooks.reachable_member = [this](const HostId& host) { return this->ReachableMember(host); };
  hooks.is_host_reachable = [this](const HostId& host) { return this->IsReachable(host); };
  hooks.is_host_leaving = [this](const HostId& host) { return this->IsLeaving(host); };
  hooks.host_data_centre = [this](const HostId& host) {
    return host == this->self ? this->settings.host.data_centre
                              : this->network->PeerDataCentre(host);
  };
  hooks.send_raft_message = [this](const consensus::RaftMessage& message) {
    this->network->SendBestEffort(cluster::MemberName::ParseHost(message.to),
                                  protocol::ConsensusMessage{message});
  };
  hooks.send_join_request = [this](const HostId& member) {
    for (const HostId& host : this->network->ReachablePeers()) {
      this->network->SendBestEffort(host, cluster::JoinRequest{member});
    }
  };
  hooks.on_state_change = [this](const cluster::ConfigurationRecord& record,
                                 const ClusterView& new_view,
                                 const cluster::EvacuationState& new_evacuations) {
    this->OnClusterStateChange(record, new_view, new_evacuations);
  };
  hooks.on_leader_change = [this](const HostId& new_leader) {
    {
      MutexLock lock(this->state_mutex);
      this->leader = new_leader;
    }
    this->logger.Info("group leader changed", {{"leader", new_leader.value()}});
  };
  hooks.on_lease_held = [this](base::Term term) { this->job_manager.OnLeaseHeld(term); };
  hooks.apply_jobs_command = [this](const std::string& command) {
    this->job_manager.job_state_machine().Apply(command);
  };
  hooks.take_jobs_snapshot = [this] {
    return this->job_manager.job_state_machine().TakeSnapshot();
  };
  hooks.restore_jobs_snapshot = [this](const std::string& state) {
    this->job_manager.job_state_machine().Restore(state);
  };
  hooks.on_status = [this](const HostId& member, const consensus::RaftStatus& status) {
    this->group_monitor.OnStatus(member, status);
    this->ConnectToMembers(status.membership);
    this->UpdateStartLimit(status);
    this->evacuation_monitor.UpdateMetrics();
  };
  hooks.on_membership_change = [this](const cluster::PlannedChange& planned) {
    this->group_monitor.OnMembershipChange(planned);
  };
  hooks.on_promotion_delayed = [this](const HostId& learner, const std::string& reason) {
    this->group_monitor.OnPromotionDelayed(learner, reason);
  };
  hooks.on_storage_status = [this](const std::string& reason) {
    if (reason.empty()) {
      this->logger.Info("disk reopened after a failure");
    } else {
      this->logger.Error("disk failed; this host doesn't vote until the disk is reopened",
                         {{"reason", reason}});
    }
  };
  return std::make_unique<ClusterGroup>(this->settings.group, std::move(hooks));
}

peers::PeerNetwork::Hooks AllocatorHost::PeerHooks() {
  peers::PeerNetwork::Hooks hooks;
  hooks.now = this->now;
  hooks.on_message = [this](const HostId& from, const protocol::Message& message) {
    this->OnMessage(from, message);
  };
  hooks.on_peer_up = [this](const HostId& host, base::Incarnation incarnation) {
    this->OnPeerUp(host, incarnation);
  };
  hooks.on_peer_lost = [this](const HostId& host) { this->OnPeerLost(host); };
  hooks.on_session_reset = [this](const HostId& host) {
    this->logger.Warning("peer had declared this host lost; cancelling the peer's jobs",
                         {{"host", host.value()}});
    this->scheduler.CancelJobsOfGateway(host);
    this->job_manager.OnHostLost(host);
  };
  hooks.on_heartbeat_acknowledged = [this](const HostId& host, base::TimePoint sent_at) {
    this->scheduler.OnGatewayAlive(host, sent_at);
  };
  hooks.make_heartbeat = [this] {
    protocol::Heartbeat heartbeat;
    MutexLock lock(this->state_mutex);
    heartbeat.is_leaving = this->is_leaving;
    return heartbeat;
  };
  hooks.on_connection_error = [this](const HostId& host, const std::string& reason) {
    this->logger.Warning("peer connection failed", {{"host", host.value()}, {"reason", reason}});
  };
  return hooks;
}

base::Result<void> AllocatorHost::Start() {
  const auto opened = this->group->Open();
  if (!opened) {
    return opened;
  }
  this->LoadTargets();
  const auto started = this->network->Start();
  if (!started) {
    return started;
  }
  this->timer_queue = std::make_unique<base::TimerQueue>("timers");
  this->timer_queue->RunEvery(kGroupTickInterval, [this] { this->group->Tick(); });
  this->timer_queue->RunEvery(kSchedulerTickInterval, [this] {
    // For the batches of stored jobs, the leader takes the place of the gateway.
    if (this->job_manager.IsLeading()) {
      this->scheduler.OnGatewayAlive(this->self, this->now());
    }
    this->scheduler.Tick();
    this->job_manager.Tick();
  });
  this->timer_queue->RunEvery(kCapacityReportInterval, [this] { this->ReportCapacity(); });
  this->timer_queue->RunEvery(kAnnouncementInterval, [this] { this->AnnounceStateIfChanged(); });
  this->timer_queue->RunEvery(kTargetSaveInterval, [this] {
    this->target_file_thread->Enqueue(0, [this] { this->SaveTargets(); });
  });
  return {};
}

void AllocatorHost::LoadTargets() {
  const auto loaded = this->target_file.Load();
  if (!loaded) {
    this->logger.Warning("target file not loaded", {{"reason", loaded.error().message}});
    return;
  }
  MutexLock lock(this->state_mutex);
  for (const runs::TargetReport& report : *loaded) {
    this->targets[report.id] = {report, this->now()};
    this->saved_target_incarnations.emplace_back(report.id, report.incarnation);
  }
}

void AllocatorHost::RemoveSilentTargets() {
  MutexLock lock(this->state_mutex);
  for (auto target = this->targets.begin(); target != this->targets.end();) {
    const bool is_silent =
        this->now() - target->second.last_heard_at >= this->settings.scheduler.drop_target_after;
    target = is_silent ? this->targets.erase(target) : std::next(target);
  }
}

void AllocatorHost::SaveTargets() {
  this->RemoveSilentTargets();
  std::vector<runs::TargetReport> reports;
  std::vector<std::pair<base::TargetId, base::Incarnation>> incarnations;
  {
    MutexLock lock(this->state_mutex);
    for (const auto& [id, target] : this->targets) {
      if (!target.report.is_draining) {
        reports.push_back(target.report);
        incarnations.emplace_back(id, target.report.incarnation);
      }
    }
  }
  if (incarnations == this->saved_target_incarnations) {
    return;
  }
  const auto saved = this->target_file.Save(reports);
  if (!saved) {
    this->logger.Warning("target file not saved", {{"reason", saved.error().message}});
    return;
  }
  this->saved_target_incarnations = std::move(incarnations);
}

void AllocatorHost::Drain() {
  {
    MutexLock lock(this->state_mutex);
    this->is_leaving = true;
  }
  this->ReportCapacity();
  const base::TimePoint deadline = this->now() + this->settings.drain_limit;
  while (this->scheduler.BatchCount() > 0 && this->now() < deadline) {
    // Only another leader can hand over this host's vote.
    this->group->TransferLeadership();
    std::this_thread::sleep_for(kDrainPollInterval);
  }
  this->group->TransferLeadership();
  // Otherwise the group would have one vote less until it replaces that of this host, which may not
  // return.
  const base::TimePoint handover_deadline = deadline + kVoteHandoverTimeout;
  while (this->group->IsVoteHandoverPending() && this->now() < handover_deadline) {
    std::this_thread::sleep_for(kDrainPollInterval);
    this->group->TransferLeadership();
  }
  this->network->WaitUntilDelivered(kDeliveryTimeout);
}

void AllocatorHost::AddSeeds(const std::vector<base::NetworkAddress>& seeds) {
  for (const base::NetworkAddress& seed : seeds) {
    this->network->AddPeer(MakePeerAddress(seed));
  }
}

void AllocatorHost::ConnectToMembers(const consensus::RaftMembership& membership) {
  if (membership == this->connected_membership) {
    return;
  }
  this->connected_membership = membership;
  for (const auto* members : {&membership.voters, &membership.learners}) {
    for (const HostId& member : *members) {
      this->network->AddPeer(
          MakePeerAddress(base::NetworkAddress(cluster::MemberName::ParseHost(member).value())));
    }
  }
}

bool AllocatorHost::IsReachable(const HostId& host) {
  if (host == this->self) {
    return true;
  }
  if (!this->network->IsPeerReachable(host)) {
    return false;
  }
  MutexLock lock(this->state_mutex);
  return this->allocator_hosts.count(host) > 0;
}

bool AllocatorHost::IsLeaving(const HostId& host) {
  MutexLock lock(this->state_mutex);
  return host == this->self ? this->is_leaving : this->leaving_hosts.count(host) > 0;
}

std::optional<ClusterView::Member> AllocatorHost::ReachableMember(const HostId& host) {
  MutexLock lock(this->state_mutex);
  if (host == this->self) {
    if (this->is_leaving) {
      return std::nullopt;
    }
    return ClusterView::Member{host, this->settings.host.incarnation,
                               this->settings.host.data_centre};
  }
  auto found = this->reachable_hosts.find(host);
  if (found == this->reachable_hosts.end() || this->leaving_hosts.count(host) > 0 ||
      this->allocator_hosts.count(host) == 0) {
    return std::nullopt;
  }
  const base::DataCentreId data_centre = this->network->PeerDataCentre(host);
  if (data_centre.empty()) {
    return std::nullopt;
  }
  return ClusterView::Member{host, found->second, data_centre};
}

bool AllocatorHost::IsSelf(const ClusterView::Member& member) const {
  return member.host == this->self && member.incarnation == this->settings.host.incarnation;
}

const ClusterView::Member* AllocatorHost::FindOwner(const runs::TargetReport& report) {
  return this->view.FindOwner(report.id, report.data_centre);
}

base::Result<HostId> AllocatorHost::OnTargetReport(const runs::TargetReport& report) {
  HostId owner;
  bool is_self = false;
  {
    MutexLock lock(this->state_mutex);
    const ClusterView::Member* found = this->FindOwner(report);
    if (found != nullptr) {
      owner = found->host;
      is_self = this->IsSelf(*found);
    }
  }
  if (owner.empty()) {
    return base::MakeErrorResult(base::ErrorCode::kUnavailable,
                                 "the cluster view names no owner for the target");
  }
  this->RecordTargetReport(report);
  if (!is_self && !this->network->SendReliably(owner, report)) {
    return base::MakeErrorResult(base::ErrorCode::kUnavailable,
                                 "the target's owner is unreachable");
  }
  if (report.is_draining) {
    this->ForwardToOtherAllocators(report, owner);
  }
  return owner;
}

void AllocatorHost::ForwardToOtherAllocators(const runs::TargetReport& report,
                                             const HostId& owner) {
  std::vector<HostId> others;
  {
    MutexLock lock(this->state_mutex);
    for (const ClusterView::Member& member : this->view.members) {
      if (member.host != owner && member.host != this->self) {
        others.push_back(member.host);
      }
    }
  }
  for (const HostId& host : others) {
    // A lost host gets the state of the target from its next report.
    (void)this->network->SendReliably(host, report);
  }
}

base::Result<void> AllocatorHost::OnTargetLeave(const base::TargetId& target) {
  runs::TargetReport report;
  {
    MutexLock lock(this->state_mutex);
    auto found = this->targets.find(target);
    if (found == this->targets.end()) {
      return {};
    }
    report = found->second.report;
  }
  report.has_left = true;
  report.is_draining = true;
  report.sequence_number = report.sequence_number.Next();
  const auto owner = this->OnTargetReport(report);
  if (!owner) {
    return tl::make_unexpected(owner.error());
  }
  return {};
}

void AllocatorHost::RecordTargetReport(const runs::TargetReport& report) {
  bool is_owner = false;
  base::FencingToken fencing_token;
  {
    MutexLock lock(this->state_mutex);
    KnownTarget& known = this->targets[report.id];
    if (report.incarnation < known.report.incarnation ||
        (report.incarnation == known.report.incarnation &&
         report.sequence_number < known.report.sequence_number)) {
      return;
    }
    known = {report, this->now()};
    const ClusterView::Member* owner = this->FindOwner(report);
    is_owner = owner != nullptr && this->IsSelf(*owner);
    fencing_token = base::FencingToken(this->view.epoch.value());
  }
  if (is_owner) {
    this->scheduler.OnTargetReport(report, fencing_token);
  }
}

void AllocatorHost::OnClusterStateChange(const cluster::ConfigurationRecord& record,
                                         const ClusterView& new_view,
                                         const cluster::EvacuationState& new_evacuations) {
  const auto is_owned = [this, &new_view](const runs::TargetReport& report) {
    const ClusterView::Member* owner = new_view.FindOwner(report.id, report.data_centre);
    return owner != nullptr && this->IsSelf(*owner);
  };
  // Before this host can be the owner of targets in an evacuated data centre.
  this->scheduler.SetEvacuatedDataCentres(new_evacuations.DataCentres());
  this->evacuation_monitor.OnStateChange(new_evacuations);
  std::vector<runs::TargetReport> owned_targets;
  bool is_new_view = false;
  bool is_new_configuration = false;
  bool is_member = false;
  bool was_owner = false;
  {
    MutexLock lock(this->state_mutex);
    // If this host missed a view in between, that view may have assigned its targets to others.
    was_owner = this->is_in_view && new_view.epoch == this->view.epoch.Next();
    is_new_view = new_view.epoch != this->view.epoch;
    is_new_configuration = record.version != this->configuration.version;
    this->configuration = record;
    this->view = new_view;
    this->evacuations = new_evacuations;
    this->is_announcement_due = this->is_announcement_due || is_new_view || is_new_configuration;
    // A partitioned host is missing from the view for a while. It keeps using its targets: the
    // fencing tokens keep it away from targets that another host has adopted.
    is_member =
        std::any_of(new_view.members.begin(), new_view.members.end(),
                    [this](const ClusterView::Member& member) { return this->IsSelf(member); });
    this->is_in_view = is_member;
    if (is_new_view && is_member) {
      for (const auto& [id, target] : this->targets) {
        if (is_owned(target.report)) {
          owned_targets.push_back(target.report);
        }
      }
    }
  }
  if (is_new_view) {
    this->logger.Info("cluster view committed",
                      {{"epoch", std::to_string(new_view.epoch.value())},
                       {"members", std::to_string(new_view.members.size())}});
    if (is_member) {
      this->scheduler.OnOwnershipChange(base::FencingToken(new_view.epoch.value()), was_owner,
                                        is_owned, owned_targets);
    }
  } else if (is_new_configuration) {
    this->logger.Info("configuration committed",
                      {{"version", std::to_string(record.version.value())}});
  }
}

void AllocatorHost::AnnounceStateIfChanged() {
  {
    MutexLock lock(this->state_mutex);
    if (!std::exchange(this->is_announcement_due, false)) {
      return;
    }
  }
  for (const HostId& host : this->network->ReachablePeers()) {
    this->SendClusterUpdate(host);
  }
}

void AllocatorHost::SendConfiguration(const HostId& host) {
  cluster::ConfigurationResponse response;
  {
    MutexLock lock(this->state_mutex);
    response.configuration = this->configuration;
  }
  // A gateway that is lost requests the configuration again once it is reachable.
  (void)this->network->SendReliably(host, std::move(response));
}

void AllocatorHost::SendClusterUpdate(const HostId& host) {
  cluster::ClusterUpdate update;
  {
    MutexLock lock(this->state_mutex);
    update.configuration_version = this->configuration.version;
    update.view = this->view;
  }
  for (const ClusterView::Member& member : update.view.members) {
    update.allocator_addresses.emplace_back(member.host.value());
  }
  // A lost host gets the state from `OnPeerUp` once it is reachable again.
  (void)this->network->SendReliably(host, std::move(update));
}

void AllocatorHost::OnPeerUp(const HostId& host, base::Incarnation incarnation) {
  {
    MutexLock lock(this->state_mutex);
    this->reachable_hosts[host] = incarnation;
    this->leaving_hosts.erase(host);
    // The host has to get the report even if it doesn't change.
    this->last_capacity_report = {};
  }
  this->logger.Info("host reachable", {{"host", host.value()}});
  this->SendClusterUpdate(host);
}

void AllocatorHost::OnPeerLost(const HostId& host) {
  {
    MutexLock lock(this->state_mutex);
    this->reachable_hosts.erase(host);
    this->allocator_hosts.erase(host);
  }
  this->logger.Warning("host unreachable", {{"host", host.value()}});
  this->scheduler.CancelJobsOfGateway(host);
  this->job_manager.OnHostLost(host);
}

void AllocatorHost::RecordAllocator(const HostId& host) {
  MutexLock lock(this->state_mutex);
  this->allocator_hosts.insert(host);
}

void AllocatorHost::OnMessage(const HostId& from, const protocol::Message& message) {
  if (std::holds_alternative<cluster::ClusterUpdate>(message) ||
      std::holds_alternative<runs::CapacityReport>(message)) {
    this->RecordAllocator(from);
  }
  if (this->job_manager.OnMessage(from, message)) {
    return;
  }
  if (const auto* batch = std::get_if<runs::TaskBatch>(&message)) {
    this->scheduler.PlaceBatch(*batch);
  } else if (const auto* cancel = std::get_if<runs::BatchCancel>(&message)) {
    this->scheduler.CancelJob(from, cancel->job);
  } else if (const auto* recall = std::get_if<runs::BatchRecall>(&message)) {
    this->scheduler.RecallBatch(from, *recall);
  } else if (const auto* raft = std::get_if<protocol::ConsensusMessage>(&message)) {
    this->group->ReceiveRaftMessage(raft->raft_message);
  } else if (const auto* report = std::get_if<runs::TargetReport>(&message)) {
    this->RecordTargetReport(*report);
  } else if (const auto* join = std::get_if<cluster::JoinRequest>(&message)) {
    this->group->OnJoinRequest(join->member);
  } else if (const auto* heartbeat = std::get_if<protocol::Heartbeat>(&message)) {
    MutexLock lock(this->state_mutex);
    if (heartbeat->is_leaving) {
      this->leaving_hosts.insert(from);
    }
  } else if (const auto* update = std::get_if<cluster::ClusterUpdate>(&message)) {
    this->AddSeeds(update->allocator_addresses);
  } else if (std::holds_alternative<cluster::ConfigurationRequest>(message)) {
    this->SendConfiguration(from);
  }
}

void AllocatorHost::OnBatchEnd(const runs::BatchResult& result) {
  this->metrics.OnBatchEnd(runs::BatchResult::OutcomeName(result.outcome));
  this->logger.Info("task batch ended",
                    {{"job", result.key.job.value()},
                     {"part", std::to_string(result.key.batch.value())},
                     {"gateway", result.key.gateway.value()},
                     {"outcome", std::string(runs::BatchResult::OutcomeName(result.outcome))},
                     {"reason", result.reason}});
  if (result.key.gateway == this->self) {
    this->job_manager.OnBatchEnd(this->self, result);
    return;
  }
  // A lost gateway no longer has a caller that waits for the result.
  (void)this->network->SendReliably(result.key.gateway, result);
}

void AllocatorHost::OnTasksReturned(const runs::ReturnedTasks& returned) {
  this->metrics.OnRunDecision("tasks returned to the gateway");
  this->logger.Info("tasks returned to the gateway",
                    {{"job", returned.key.job.value()},
                     {"part", std::to_string(returned.key.batch.value())},
                     {"gateway", returned.key.gateway.value()},
                     {"tasks", std::to_string(returned.tasks.size())},
                     {"reason", returned.reason}});
  // A lost gateway no longer has a caller that waits for the tasks.
  (void)this->network->SendReliably(returned.key.gateway, returned);
}

void AllocatorHost::OnDecision(const runs::RunDecision& decision) {
  this->metrics.OnRunDecision(decision.name);
  this->logger.Info(decision.name, {{"task", TaskKeyText(decision.key)},
                                    {"run", std::to_string(decision.key.run.value())},
                                    {"target", decision.target.value()},
                                    {"token", std::to_string(decision.fencing_token.value())},
                                    {"reason", decision.reason}});
}

void AllocatorHost::ReportCapacity() {
  runs::CapacityReport report;
  report.data_centre = this->settings.host.data_centre;
  report.accepts_recalls = true;
  report.service_capacities = this->scheduler.ServiceCapacities();
  {
    MutexLock lock(this->state_mutex);
    report.is_leaving = this->is_leaving;
    if (report == this->last_capacity_report &&
        this->now() - this->last_capacity_report_at < kCapacityReportRepeatInterval) {
      return;
    }
    this->last_capacity_report = report;
    this->last_capacity_report_at = this->now();
  }
  this->job_manager.OnCapacityReport(this->self, report);
  for (const HostId& host : this->network->ReachablePeers()) {
    this->network->SendBestEffort(host, report);
  }
}

void AllocatorHost::PutConfiguration(cluster::ConfigurationRecord record,
                                     ClusterGroup::ProposalCallback callback) {
  const base::Version version = record.version;
  this->group->PutConfiguration(
      std::move(record), [this, version, callback = std::move(callback)](ProposalOutcome outcome) {
        this->group_monitor.OnChange(version, outcome, this->Leader());
        callback(outcome);
      });
}

void AllocatorHost::ReadConfiguration(ClusterGroup::ReadCallback callback) {
  this->group->ReadConfiguration([this, callback = std::move(callback)](
                                     const base::Result<cluster::ConfigurationRecord>& result) {
    this->group_monitor.OnRead(result);
    callback(result);
  });
}

bool AllocatorHost::IsKnownDataCentre(const base::DataCentreId& data_centre) {
  if (data_centre == this->settings.host.data_centre ||
      this->settings.data_centres.count(data_centre) > 0) {
    return true;
  }
  MutexLock lock(this->state_mutex);
  return std::any_of(this->targets.begin(), this->targets.end(), [&data_centre](const auto& entry) {
    return entry.second.report.data_centre == data_centre;
  });
}

void AllocatorHost::StartEvacuation(const base::DataCentreId& data_centre,
                                    ClusterGroup::ProposalCallback callback) {
  this->OrderEvacuation(cluster::EvacuationOrder::Kind::kStart, data_centre, std::move(callback));
}

void AllocatorHost::FinishEvacuation(const base::DataCentreId& data_centre,
                                     ClusterGroup::ProposalCallback callback) {
  this->OrderEvacuation(cluster::EvacuationOrder::Kind::kFinish, data_centre, std::move(callback));
}

void AllocatorHost::OrderEvacuation(cluster::EvacuationOrder::Kind kind,
                                    const base::DataCentreId& data_centre,
                                    ClusterGroup::ProposalCallback callback) {
  const cluster::EvacuationOrder order{
      kind, data_centre,
      std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now()),
      this->self};
  this->group->ProposeEvacuation(
      order, [this, order, callback = std::move(callback)](ProposalOutcome outcome) {
        this->evacuation_monitor.OnOrderAnswered(order, outcome, this->Leader());
        callback(outcome);
      });
}

cluster::EvacuationState AllocatorHost::Evacuations() {
  MutexLock lock(this->state_mutex);
  return this->evacuations;
}

void AllocatorHost::UpdateStartLimit(const consensus::RaftStatus& status) {
  if (!this->settings.evacuation_limit) {
    return;
  }
  this->up_to_date_as_of = std::max(this->up_to_date_as_of, status.up_to_date_as_of);
  const base::Duration limit = *this->settings.evacuation_limit;
  const base::Duration margin = this->settings.scheduler.maximum_lease + kStartLimitMargin;
  // A host that was never confirmed starts nothing.
  const bool is_confirmed = this->up_to_date_as_of != base::TimePoint();
  const base::TimePoint start_limit =
      is_confirmed ? this->up_to_date_as_of + limit - std::min(margin, limit / 2)
                   : base::TimePoint();
  this->scheduler.AllowStartsUntil(start_limit);
  this->evacuation_monitor.OnStartLimit(start_limit, this->up_to_date_as_of);
}

HostId AllocatorHost::Leader() {
  MutexLock lock(this->state_mutex);
  return this->leader;
}

}  // namespace sapphirecrank::clusterhost
