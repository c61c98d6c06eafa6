#include "entryhost/entry_host.h"

#include <signal.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <map>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <thread>
#include <utility>

#include "base/mutex.h"
#include "base/mutex_lock.h"
#include "base/thread_pool.h"
#include "base/timer_queue.h"
#include "dispatch/dispatcher.h"
#include "dispatch/host_load_table.h"
#include "dispatch/request_router.h"
#include "dispatch/task_report_batcher.h"
#include "entryhost/job_service.h"
#include "entryhost/message_translation.h"
#include "entryhost/view_consensus.h"
#include "frontend/access_control.h"
#include "frontend/api_router.h"
#include "frontend/http_server.h"
#include "membership/owner_selector.h"
#include "membership/owners.h"
#include "membership/view.h"
#include "membership/view_lease.h"
#include "observability/request_metrics.h"
#include "outbound/target_client.h"
#include "peers/peer_network.h"

namespace sapphirecrank::entryhost {

using base::Duration;
using base::ErrorCode;
using base::ExecutionVerdict;
using base::HostId;
using base::SubmissionId;
using base::TargetId;
using base::TargetKind;
using base::TimePoint;
using dispatch::Assignment;
using dispatch::TaskReport;
using frontend::SubmittedWork;
using frontend::WorkResult;
using observability::MessageKind;
using observability::WastedMessageCause;

namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(5);
constexpr Duration kViewTickInterval = std::chrono::milliseconds(20);
constexpr Duration kReportBatchInterval = std::chrono::milliseconds(2);
constexpr size_t kThreadPoolSize = 4;
// Long enough for two heartbeats, which tell the peers that this host takes no new work.
constexpr Duration kDrainNoticePeriod = std::chrono::milliseconds(500);
constexpr Duration kDrainPollInterval = std::chrono::milliseconds(10);
constexpr Duration kDeliveryTimeout = std::chrono::seconds(2);
constexpr TargetKind kTargetKinds[] = {TargetKind::kRunner, TargetKind::kWorker};

base::Incarnation RandomIncarnation() {
  std::random_device device;
  return base::Incarnation((static_cast<uint64_t>(device()) << 32) | device());
}

base::Error ShuttingDownError() {
  return {ErrorCode::kShuttingDown, "", "the entry host is shutting down",
          ExecutionVerdict::kNotRun};
}

base::Error StoppedError() {
  return {ErrorCode::kShuttingDown, "", "the entry host stopped", ExecutionVerdict::kMayHaveRun};
}

std::vector<base::TeamId> TeamIds(const configuration::Settings& settings) {
  std::vector<base::TeamId> teams;
  teams.reserve(settings.teams.size());
  for (const configuration::TeamSettings& team : settings.teams) {
    teams.push_back(team.id);
  }
  return teams;
}

frontend::HttpServerSettings ToHttpServerSettings(const configuration::Settings& settings) {
  const configuration::HttpSettings& http = settings.http;
  frontend::HttpServerSettings server_settings;
  server_settings.listen_address = settings.http_listen_address;
  server_settings.thread_count = http.thread_count;
  server_settings.maximum_body_size = http.maximum_body_size;
  server_settings.maximum_connections = http.maximum_connections;
  server_settings.maximum_connections_per_address = http.maximum_connections_per_address;
  server_settings.idle_timeout = http.idle_timeout;
  return server_settings;
}

Duration LongestRunTime(const std::vector<TaskReport>& reports) {
  Duration longest_run_time{0};
  for (const TaskReport& report : reports) {
    longest_run_time = std::max(longest_run_time, report.response_time);
  }
  return longest_run_time;
}

/// Combines the reports of all tasks of a request into one result, which succeeds only if all do.
WorkResult ToWorkResult(const std::vector<TaskReport>& reports) {
  WorkResult result;
  ExecutionVerdict verdict = reports.front().verdict;
  for (const TaskReport& report : reports) {
    verdict = base::CombineVerdicts(verdict, report.verdict);
    // The error is that of the first failed task. A cancellation gives way to a later failure,
    // because it may only be a consequence of that failure.
    const bool may_replace_error = !result.error || result.error->code == ErrorCode::kCancelled;
    if (!report.succeeded && may_replace_error) {
      result.error = report.error;
    }
    result.task_results.push_back({report.succeeded, report.verdict, report.body, report.error});
  }
  if (result.error) {
    result.error->verdict = verdict;
  }
  return result;
}

}  // namespace

/// Converts a job's result. A failed job has one error, and each task has its own verdict.
WorkResult ToWorkResult(const jobs::JobResult& job_result) {
  WorkResult result;
  if (!job_result.succeeded) {
    result.error = job_result.error;
  }
  for (const jobs::TaskResult& task : job_result.task_results) {
    const base::Error error{ErrorCode::kTargetFailed, "", task.body, task.verdict};
    result.task_results.push_back(
        {task.succeeded, task.verdict, task.body, task.succeeded ? base::Error() : error});
  }
  return result;
}

jobs::Submission ToSubmission(SubmittedWork& work) {
  jobs::Submission submission;
  submission.id = work.submission;
  submission.team = work.team;
  submission.priority_class = work.priority_class;
  submission.time_left = work.time_limit;
  for (frontend::SubmittedTask& task : work.tasks) {
    submission.tasks.push_back({task.kind, std::move(task.payload), task.declared_resources,
                                task.declared_run_time, task.idempotent});
  }
  return submission;
}

class EntryHost::Impl {
 public:
  Impl(const configuration::Settings& settings, const std::string& shared_secret,
       observability::Logger& logger, frontend::Authenticator authenticator);
  ~Impl();

  base::Result<void> Start();
  void Drain();
  base::NetworkAddress HttpAddress() const { return this->http_server.ListenAddress(); }

 private:
  dispatch::Dispatcher::Hooks DispatcherHooks();
  dispatch::RequestRouter::Hooks RequestRouterHooks();
  dispatch::TaskReportBatcher::Hooks TaskReportBatcherHooks();
  peers::PeerNetwork::Hooks PeerNetworkHooks();
  frontend::ApiRouter::Hooks ApiRouterHooks();
  frontend::AccessControl::Hooks AccessControlHooks();
  peers::PeerNetworkSettings MakePeerNetworkSettings(const std::string& shared_secret) const;
  JobService::Hooks JobServiceHooks();
  ViewConsensus::Hooks ViewConsensusHooks();
  consensus::RaftMembership InitialMembership() const;

  void RunRequest(SubmittedWork work, const frontend::ApiRouter::ResultCallback& on_result);
  void RunJob(SubmittedWork work, const frontend::ApiRouter::ResultCallback& on_result);
  void OnViewAgreed(base::Epoch epoch, const std::vector<ViewConsensus::Member>& members);
  void OnPeerUp(const HostId& host, base::Incarnation peer_incarnation);
  void OnPeerLost(const HostId& host);
  void OnPeerSessionReset(const HostId& host);
  void EndWorkOnHost(const HostId& host);
  bool OnTaskReport(const HostId& host, const TaskReport& report);
  HostId ReachableHostIn(const base::DataCentreId& data_centre) const;

  void RunWork(SubmittedWork work, const frontend::ApiRouter::ResultCallback& on_result);
  void RejectWork(const base::Error& error, const frontend::ApiRouter::ResultCallback& on_result);
  void RecordRequestMetrics(const scheduling::TaskSpec& task, TimePoint arrived_at,
                            const std::vector<TaskReport>& reports, const WorkResult& result);
  void RecordAssignmentMetrics(const HostId& host, const std::vector<Assignment>& tasks);
  void RecordTargetResponseMetrics(const dispatch::TargetResponse& response);
  base::Result<HostId> OnAnnouncement(const targets::TargetAnnouncement& announcement);
  HostId OwnerOfTarget(const TargetId& target);
  std::vector<dispatch::HostLoad> HostLoads(TargetKind kind);
  bool AssignTasks(const HostId& host, const std::vector<Assignment>& tasks);
  void CancelTasks(const HostId& host, const SubmissionId& submission);
  void SendTaskReport(const HostId& host, const TaskReport& report);
  void OnPeerMessage(const HostId& host, const protocol::Message& message);
  void OnAssignTasks(const HostId& host, const protocol::AssignTasks& message);
  void OnHeartbeat(const HostId& host, const protocol::Heartbeat& heartbeat);
  protocol::Heartbeat MakeHeartbeat();
  std::string StatusDocument();
  size_t WorkInFlight();

  configuration::Settings settings;
  observability::Logger& logger;
  base::Clock now;
  base::Incarnation incarnation;
  std::atomic<bool> is_leaving{false};
  std::atomic<uint64_t> next_request_number{1};
  base::Mutex reachable_peers_mutex;
  std::map<HostId, base::Incarnation> reachable_peers GUARDED_BY(reachable_peers_mutex);
  membership::ViewLease view_lease;
  std::set<base::TeamId> known_teams;
  observability::RequestMetrics metrics;
  dispatch::HostLoadTable host_load_table;
  outbound::TargetClient target_client;
  dispatch::Dispatcher dispatcher;
  dispatch::RequestRouter request_router;
  JobService job_service;
  dispatch::TaskReportBatcher task_report_batcher;
  ViewConsensus view_consensus;
  frontend::ApiRouter api_router;
  frontend::AccessControl access_control;
  // The threads of the members below call the members above; the destructor stops them first.
  peers::PeerNetwork peer_network;
  std::unique_ptr<base::ThreadPool> thread_pool;
  std::unique_ptr<base::TimerQueue> timers;
  frontend::HttpServer http_server;
};

EntryHost::Impl::Impl(const configuration::Settings& settings, const std::string& shared_secret,
                      observability::Logger& logger, frontend::Authenticator authenticator)
    : settings(settings),
      logger(logger),
      now(base::SteadyClock()),
      incarnation(RandomIncarnation()),
      view_lease(settings.host, {this->now}),
      metrics(TeamIds(settings)),
      target_client(outbound::HttpClientSettings()),
      dispatcher(settings.host.value() + "/" + std::to_string(this->incarnation.value()) + "/",
                 this->DispatcherHooks()),
      request_router(this->RequestRouterHooks()),
      job_service({settings.host, this->incarnation}, settings.data_centre,
                  this->JobServiceHooks()),
      task_report_batcher(kReportBatchInterval, this->TaskReportBatcherHooks()),
      view_consensus({settings.host, this->incarnation}, settings.data_centre,
                     this->InitialMembership(), this->view_lease, this->ViewConsensusHooks()),
      api_router(this->ApiRouterHooks()),
      access_control(std::move(authenticator), this->AccessControlHooks()),
      peer_network(this->MakePeerNetworkSettings(shared_secret), this->PeerNetworkHooks()),
      thread_pool(std::make_unique<base::ThreadPool>("worker", kThreadPoolSize)),
      timers(std::make_unique<base::TimerQueue>("timers")),
      http_server(ToHttpServerSettings(settings), [this](const auto& request, const auto& respond) {
        this->access_control.HandleRequest(request, respond);
      }) {
  for (const configuration::TeamSettings& team : settings.teams) {
    this->known_teams.insert(team.id);
  }
}

EntryHost::Impl::~Impl() {
  this->is_leaving = true;
  this->request_router.EndAllSubmissions(StoppedError());
  this->job_service.FailAllForwarded();
  this->http_server.AbortRequests();
  this->peer_network.Stop();
  this->timers.reset();
  this->thread_pool.reset();
  this->view_consensus.Stop();
  this->target_client.Stop();
}

base::Result<void> EntryHost::Impl::Start() {
  const auto storage_opened = this->view_consensus.OpenStorage(this->settings.data_folder);
  if (!storage_opened) {
    return storage_opened;
  }
  const auto network_started = this->peer_network.Start();
  if (!network_started) {
    return network_started;
  }
  this->timers->RunEvery(kTickInterval, [this] {
    this->dispatcher.Tick();
    this->request_router.Tick();
    this->job_service.Tick();
  });
  this->timers->RunEvery(kViewTickInterval, [this] { this->view_consensus.Tick(); });
  this->timers->RunEvery(kReportBatchInterval,
                         [this] { this->task_report_batcher.FlushDueReports(); });
  return this->http_server.Start();
}

void EntryHost::Impl::Drain() {
  this->is_leaving = true;
  const TimePoint notice_end = this->now() + kDrainNoticePeriod;
  while (this->now() < notice_end || this->WorkInFlight() > 0) {
    std::this_thread::sleep_for(kDrainPollInterval);
  }
  this->http_server.Stop();
  this->peer_network.WaitUntilDelivered(kDeliveryTimeout);
}

dispatch::Dispatcher::Hooks EntryHost::Impl::DispatcherHooks() {
  dispatch::Dispatcher::Hooks hooks;
  hooks.now = this->now;
  hooks.usable_from = [this](const TargetId& target) {
    return this->view_lease.KeyLeaseStart(target.value()).value_or(TimePoint::max());
  };
  hooks.may_start_on_target = [this](const TargetId& target) {
    return this->view_lease.CheckKeyLease(target.value()).has_value();
  };
  hooks.call_target = [this](const auto& call, auto on_done) {
    this->metrics.OnMessage(MessageKind::kTargetCall);
    this->target_client.StartTask(call, [this, on_done = std::move(on_done)](const auto& response) {
      this->RecordTargetResponseMetrics(response);
      on_done(response);
    });
  };
  hooks.on_start_decision = [this](const scheduling::TaskSpec& task, Duration queue_wait) {
    this->metrics.OnTaskStart(task.team, task.priority_class, queue_wait);
  };
  hooks.send_report = [this](const HostId& host, const TaskReport& report) {
    this->SendTaskReport(host, report);
  };
  return hooks;
}

dispatch::RequestRouter::Hooks EntryHost::Impl::RequestRouterHooks() {
  dispatch::RequestRouter::Hooks hooks;
  hooks.now = this->now;
  hooks.host_loads = [this](TargetKind kind) { return this->HostLoads(kind); };
  hooks.assign_tasks = [this](const HostId& host, const auto& tasks) {
    return this->AssignTasks(host, tasks);
  };
  hooks.cancel_submission = [this](const HostId& host, const SubmissionId& submission) {
    this->CancelTasks(host, submission);
  };
  return hooks;
}

dispatch::TaskReportBatcher::Hooks EntryHost::Impl::TaskReportBatcherHooks() {
  return {this->now, [this](const HostId& host, const std::vector<TaskReport>& reports) {
            // A report that can't be sent may be dropped: the receiver has counted this host as
            // lost and has already ended these tasks with "may have run".
            this->metrics.OnMessage(MessageKind::kTaskResults);
            this->peer_network.SendReliably(host, ToMessage(reports));
          }};
}

peers::PeerNetwork::Hooks EntryHost::Impl::PeerNetworkHooks() {
  peers::PeerNetwork::Hooks hooks;
  hooks.now = this->now;
  hooks.on_message = [this](const HostId& host, protocol::Message message) {
    const size_t key = std::hash<HostId>()(host);
    this->thread_pool->Enqueue(
        key, [this, host, message = std::move(message)] { this->OnPeerMessage(host, message); });
  };
  hooks.on_peer_up = [this](const HostId& host, base::Incarnation peer_incarnation) {
    this->OnPeerUp(host, peer_incarnation);
  };
  hooks.on_peer_lost = [this](const HostId& host) { this->OnPeerLost(host); };
  hooks.on_session_reset = [this](const HostId& host) { this->OnPeerSessionReset(host); };
  hooks.on_heartbeat_acknowledged = [](const HostId& /*host*/, base::TimePoint /*sent*/) {};
  hooks.make_heartbeat = [this] { return this->MakeHeartbeat(); };
  hooks.on_connection_error = [this](const HostId& host, const std::string& reason) {
    this->logger.Warning("peer connection refused or failed",
                         {{"peer", host.value()}, {"reason", reason}});
  };
  return hooks;
}

frontend::ApiRouter::Hooks EntryHost::Impl::ApiRouterHooks() {
  frontend::ApiRouter::Hooks hooks;
  hooks.run_work = [this](SubmittedWork work, const auto& on_result) {
    this->RunWork(std::move(work), on_result);
  };
  hooks.cancel_job = [this](const SubmissionId& submission) -> base::Result<void> {
    return this->job_service.CancelJob(submission);
  };
  hooks.on_announcement = [this](const auto& announcement) {
    return this->OnAnnouncement(announcement);
  };
  hooks.team_of_job = [this](const auto& submission) {
    return this->job_service.TeamOfJob(submission);
  };
  hooks.on_work_rejected = [this](const auto& error) { this->metrics.OnErrorResponse(error); };
  // The main thread waits for this signal and then calls `Drain`.
  hooks.begin_drain = [] { kill(getpid(), SIGTERM); };
  hooks.status_document = [this] { return this->StatusDocument(); };
  hooks.metrics_text = [this] { return this->metrics.PrometheusText(); };
  return hooks;
}

frontend::AccessControl::Hooks EntryHost::Impl::AccessControlHooks() {
  frontend::AccessControl::Hooks hooks;
  hooks.handle_request = [this](const auto& request, const auto& respond) {
    this->api_router.HandleRequest(request, respond);
  };
  hooks.write_audit_entry = [this](const auto& request, const std::string& name, int status) {
    this->logger.Info("audit", {{"operator", name},
                                {"remote", request.remote_address},
                                {"method", request.method},
                                {"path", request.path},
                                {"status", std::to_string(status)}});
  };
  hooks.on_request_rejected = [this](const auto& request, const base::Error& error) {
    this->metrics.OnErrorResponse(error);
    this->logger.Warning(
        "request rejected by access control",
        {{"remote", request.remote_address}, {"path", request.path}, {"reason", error.message}});
  };
  return hooks;
}

peers::PeerNetworkSettings EntryHost::Impl::MakePeerNetworkSettings(
    const std::string& shared_secret) const {
  peers::PeerNetworkSettings peer_settings;
  peer_settings.host = this->settings.host;
  peer_settings.data_centre = this->settings.data_centre;
  peer_settings.incarnation = this->incarnation;
  peer_settings.advertised_address = this->settings.peer_listen_address;
  peer_settings.shared_secret = shared_secret;
  for (const configuration::PeerSettings& peer : this->settings.peers) {
    peer_settings.peers.push_back({peer.host, peer.data_centre, peer.address});
  }
  return peer_settings;
}

void EntryHost::Impl::RunWork(SubmittedWork work,
                              const frontend::ApiRouter::ResultCallback& on_result) {
  if (this->is_leaving) {
    this->RejectWork(ShuttingDownError(), on_result);
    return;
  }
  if (this->known_teams.count(work.team) == 0) {
    this->RejectWork(
        base::Error{ErrorCode::kInvalidArgument, "team", "unknown team '" + work.team.value() + "'",
                    ExecutionVerdict::kNotRun},
        on_result);
    return;
  }
  if (work.submission.empty()) {
    this->RunRequest(std::move(work), on_result);
  } else {
    this->RunJob(std::move(work), on_result);
  }
}

void EntryHost::Impl::RunJob(SubmittedWork work,
                             const frontend::ApiRouter::ResultCallback& on_result) {
  const TimePoint arrived_at = this->now();
  const jobs::Submission submission = ToSubmission(work);
  this->job_service.Submit(submission, [this, arrived_at, team = submission.team,
                                        priority_class = submission.priority_class,
                                        on_result](const jobs::JobResult& job_result) {
    const WorkResult result = ToWorkResult(job_result);
    if (result.error) {
      this->metrics.OnErrorResponse(*result.error);
    } else {
      // FIXME: A job's result carries no run times of its tasks, so no slowdown is recorded for
      // jobs.
      this->metrics.OnCompleteResponse(team, priority_class, this->now() - arrived_at, Duration(0));
    }
    on_result(result);
  });
}

void EntryHost::Impl::RunRequest(SubmittedWork work,
                                 const frontend::ApiRouter::ResultCallback& on_result) {
  const SubmissionId submission("request/" + this->settings.host.value() + "/" +
                                std::to_string(this->incarnation.value()) + "/" +
                                std::to_string(this->next_request_number++));
  const TimePoint arrived_at = this->now();
  const TimePoint deadline = arrived_at + work.time_limit;
  std::vector<Assignment> tasks;
  tasks.reserve(work.tasks.size());
  for (size_t i = 0; i < work.tasks.size(); ++i) {
    frontend::SubmittedTask& task = work.tasks[i];
    Assignment assignment;
    assignment.spec = {{submission, base::TaskIndex(static_cast<uint32_t>(i))},
                       work.team,
                       task.kind,
                       work.priority_class,
                       work.target_kind,
                       task.declared_resources,
                       task.declared_run_time,
                       deadline,
                       task.idempotent};
    assignment.payload = std::move(task.payload);
    tasks.push_back(std::move(assignment));
  }
  const scheduling::TaskSpec first_task = tasks.front().spec;
  const bool is_accepted = this->request_router.Submit(
      std::move(tasks), [this, first_task, arrived_at, on_result](const auto& reports) {
        const WorkResult result = ToWorkResult(reports);
        this->RecordRequestMetrics(first_task, arrived_at, reports, result);
        on_result(result);
      });
  if (!is_accepted) {
    this->RejectWork(base::Error{ErrorCode::kConflict, "submission",
                                 "work with this submission id is already running",
                                 ExecutionVerdict::kMayHaveRun},
                     on_result);
  }
}

void EntryHost::Impl::RejectWork(const base::Error& error,
                                 const frontend::ApiRouter::ResultCallback& on_result) {
  this->metrics.OnErrorResponse(error);
  on_result({error, {}});
}

void EntryHost::Impl::RecordRequestMetrics(const scheduling::TaskSpec& task, TimePoint arrived_at,
                                           const std::vector<TaskReport>& reports,
                                           const WorkResult& result) {
  if (result.error) {
    this->metrics.OnErrorResponse(*result.error);
    return;
  }
  this->metrics.OnCompleteResponse(task.team, task.priority_class, this->now() - arrived_at,
                                   LongestRunTime(reports));
}

void EntryHost::Impl::RecordAssignmentMetrics(const HostId& host,
                                              const std::vector<Assignment>& tasks) {
  if (host != this->settings.host) {
    this->metrics.OnMessage(MessageKind::kAssignment);
  }
  for (const Assignment& task : tasks) {
    if (task.placement > base::PlacementNumber(1)) {
      this->metrics.OnRetry();
    }
  }
}

void EntryHost::Impl::RecordTargetResponseMetrics(const dispatch::TargetResponse& response) {
  if (response.is_for_other_attempt) {
    this->metrics.OnWastedMessage(WastedMessageCause::kResponseForOtherAttempt);
  }
}

base::Result<HostId> EntryHost::Impl::OnAnnouncement(
    const targets::TargetAnnouncement& announcement) {
  if (announcement.data_centre != this->settings.data_centre) {
    return base::MakeErrorResult(
        ErrorCode::kInvalidArgument,
        "this entry host belongs to data centre '" + this->settings.data_centre.value() + "'",
        "data_centre");
  }
  const HostId owner = this->OwnerOfTarget(announcement.id);
  if (owner.empty()) {
    return base::MakeErrorResult(ErrorCode::kUnavailable,
                                 "the hosts of this data centre have not agreed on a view yet");
  }
  if (owner == this->settings.host) {
    this->dispatcher.OnAnnouncement(announcement);
  } else {
    this->metrics.OnMessage(MessageKind::kAnnouncement);
    this->peer_network.SendBestEffort(owner, protocol::ForwardAnnouncement{announcement});
  }
  return owner;
}

HostId EntryHost::Impl::OwnerOfTarget(const TargetId& target) {
  const auto view = this->view_lease.CurrentView();
  if (!view || view->members.empty()) {
    return HostId();
  }
  return membership::OwnerSelector::SelectOwners(*view, target.value()).owner.value_or(HostId());
}

std::vector<dispatch::HostLoad> EntryHost::Impl::HostLoads(TargetKind kind) {
  std::vector<dispatch::HostLoad> loads = {
      {this->settings.host, this->dispatcher.LoadOfKind(kind)}};
  std::set<HostId> local_peers;
  for (const configuration::PeerSettings& peer : this->settings.peers) {
    if (peer.data_centre == this->settings.data_centre &&
        this->peer_network.IsPeerReachable(peer.host)) {
      local_peers.insert(peer.host);
    }
  }
  // FIXME: A task that fits no target of this data centre waits here until its deadline instead of
  // going to another data centre.
  for (const dispatch::HostLoad& load : this->host_load_table.LoadsOfKind(kind)) {
    if (local_peers.count(load.host) > 0) {
      loads.push_back(load);
    }
  }
  return loads;
}

bool EntryHost::Impl::AssignTasks(const HostId& host, const std::vector<Assignment>& tasks) {
  this->RecordAssignmentMetrics(host, tasks);
  if (host == this->settings.host) {
    this->dispatcher.AssignTasks(host, tasks);
    return true;
  }
  return this->peer_network.SendReliably(host, ToMessage(tasks, this->now()));
}

void EntryHost::Impl::CancelTasks(const HostId& host, const SubmissionId& submission) {
  if (host == this->settings.host) {
    this->dispatcher.CancelSubmission(submission);
    return;
  }
  this->metrics.OnMessage(MessageKind::kCancellation);
  this->peer_network.SendReliably(host, protocol::CancelTasks{submission});
}

void EntryHost::Impl::SendTaskReport(const HostId& host, const TaskReport& report) {
  if (host == this->settings.host) {
    this->OnTaskReport(host, report);
    return;
  }
  this->task_report_batcher.AddReport(host, report);
}

void EntryHost::Impl::OnPeerMessage(const HostId& host, const protocol::Message& message) {
  if (const auto* assign_tasks = std::get_if<protocol::AssignTasks>(&message)) {
    this->OnAssignTasks(host, *assign_tasks);
  } else if (const auto* task_results = std::get_if<protocol::TaskResults>(&message)) {
    for (const TaskReport& report : FromMessage(*task_results)) {
      if (!this->OnTaskReport(host, report)) {
        this->metrics.OnWastedMessage(WastedMessageCause::kLateResult);
      } else if (report.verdict == ExecutionVerdict::kNotRun) {
        this->metrics.OnWastedMessage(WastedMessageCause::kRefusedAssignment);
      }
    }
  } else if (const auto* cancel_tasks = std::get_if<protocol::CancelTasks>(&message)) {
    this->dispatcher.CancelSubmission(cancel_tasks->submission);
  } else if (const auto* heartbeat = std::get_if<protocol::Heartbeat>(&message)) {
    this->OnHeartbeat(host, *heartbeat);
  } else if (const auto* consensus_message = std::get_if<protocol::ConsensusMessage>(&message)) {
    this->view_consensus.OnRaftMessage(consensus_message->raft_message);
  } else if (const auto* job_record = std::get_if<jobs::JobRecord>(&message)) {
    this->job_service.OnJobRecord(host, *job_record);
  } else if (const auto* record_ack = std::get_if<jobs::RecordAck>(&message)) {
    this->job_service.OnRecordAck(host, *record_ack);
  } else if (const auto* forward_submission = std::get_if<protocol::ForwardSubmission>(&message)) {
    this->job_service.OnForwardedSubmission(host, *forward_submission);
  } else if (const auto* submission_response =
                 std::get_if<protocol::SubmissionResponse>(&message)) {
    this->job_service.OnForwardedResult(host, *submission_response);
  } else if (const auto* cancel_submission = std::get_if<protocol::CancelSubmission>(&message)) {
    this->job_service.OnCancelSubmission(cancel_submission->submission);
  } else if (const auto* forward_announcement =
                 std::get_if<protocol::ForwardAnnouncement>(&message)) {
    const targets::TargetAnnouncement& announcement = forward_announcement->announcement;
    if (this->OwnerOfTarget(announcement.id) == this->settings.host) {
      this->dispatcher.OnAnnouncement(announcement);
    } else {
      this->metrics.OnWastedMessage(WastedMessageCause::kMisdirectedAnnouncement);
    }
  }
}

void EntryHost::Impl::OnAssignTasks(const HostId& host, const protocol::AssignTasks& message) {
  std::vector<Assignment> tasks = FromMessage(message, this->now());
  if (!this->is_leaving) {
    this->dispatcher.AssignTasks(host, std::move(tasks));
    return;
  }
  for (const Assignment& task : tasks) {
    TaskReport report;
    report.key = task.spec.key;
    report.placement = task.placement;
    report.verdict = ExecutionVerdict::kNotRun;
    report.error = ShuttingDownError();
    this->task_report_batcher.AddReport(host, report);
  }
}

void EntryHost::Impl::OnHeartbeat(const HostId& host, const protocol::Heartbeat& heartbeat) {
  std::map<TargetKind, scheduling::LoadSummary> loads;
  for (const protocol::TargetKindLoad& load : heartbeat.target_kind_loads) {
    loads[load.target_kind] = FromMessage(load);
  }
  this->host_load_table.UpdateHost(host, heartbeat.is_leaving, loads);
}

void EntryHost::Impl::OnPeerUp(const HostId& host, base::Incarnation peer_incarnation) {
  this->logger.Info("peer is reachable", {{"peer", host.value()}});
  base::MutexLock lock(this->reachable_peers_mutex);
  this->reachable_peers[host] = peer_incarnation;
}

void EntryHost::Impl::OnPeerLost(const HostId& host) {
  this->logger.Warning("peer is unreachable or has restarted", {{"peer", host.value()}});
  {
    base::MutexLock lock(this->reachable_peers_mutex);
    this->reachable_peers.erase(host);
  }
  this->thread_pool->Enqueue(std::hash<HostId>()(host), [this, host] {
    this->host_load_table.RemoveHost(host);
    this->EndWorkOnHost(host);
  });
}

void EntryHost::Impl::OnPeerSessionReset(const HostId& host) {
  // The peer drops messages that were sent since then, so that work in them would never end.
  this->logger.Warning("peer had declared this host lost; ending the work placed there",
                       {{"peer", host.value()}});
  this->thread_pool->Enqueue(std::hash<HostId>()(host),
                             [this, host] { this->EndWorkOnHost(host); });
}

void EntryHost::Impl::EndWorkOnHost(const HostId& host) {
  this->request_router.OnHostLost(host);
  this->job_service.OnHostLost(host);
}

void EntryHost::Impl::OnViewAgreed(base::Epoch epoch,
                                   const std::vector<ViewConsensus::Member>& members) {
  jobs::MembershipView view;
  view.epoch = epoch;
  // The agreed members carry incarnations, so a restarted host is not a member of the initial view.
  // FIXME: If all hosts lose the agreed epoch, epochs start at 1 again and ids that were accepted
  // before count as new.
  view.is_initial = epoch == base::Epoch(1);
  std::string member_names;
  for (const ViewConsensus::Member& member : members) {
    view.members.push_back({member.host, member.incarnation});
    member_names += (member_names.empty() ? "" : ",") + member.host.value();
  }
  this->logger.Info("view agreed",
                    {{"epoch", std::to_string(epoch.value())}, {"members", member_names}});
  this->job_service.SetView(view);
  this->dispatcher.RetainTargets([this](const TargetId& target) {
    return this->OwnerOfTarget(target) == this->settings.host;
  });
}

JobService::Hooks EntryHost::Impl::JobServiceHooks() {
  JobService::Hooks hooks;
  hooks.now = this->now;
  hooks.check_view_lease = [this] {
    return this->view_lease.CheckMemberLease().map([](base::Epoch /*epoch*/) {});
  };
  hooks.send_reliably = [this](const HostId& host, protocol::Message message) {
    return this->peer_network.SendReliably(host, std::move(message));
  };
  hooks.is_leaving = [this] { return this->is_leaving.load(); };
  // A data centre with only one configured entry host has no host for a second copy.
  hooks.may_run_unreplicated = [this] {
    const auto& peers = this->settings.peers;
    return std::none_of(peers.begin(), peers.end(), [this](const auto& peer) {
      return peer.data_centre == this->settings.data_centre;
    });
  };
  hooks.select_host_in = [this](const base::DataCentreId& data_centre) {
    return this->ReachableHostIn(data_centre);
  };
  hooks.host_loads = [this](TargetKind kind) { return this->HostLoads(kind); };
  hooks.assign_tasks = [this](const HostId& host, const auto& tasks) {
    return this->AssignTasks(host, tasks);
  };
  hooks.cancel_submission = [this](const HostId& host, const SubmissionId& submission) {
    this->CancelTasks(host, submission);
  };
  return hooks;
}

ViewConsensus::Hooks EntryHost::Impl::ViewConsensusHooks() {
  ViewConsensus::Hooks hooks;
  hooks.now = this->now;
  hooks.reachable_members = [this] {
    std::vector<ViewConsensus::Member> members = {{this->settings.host, this->incarnation}};
    base::MutexLock lock(this->reachable_peers_mutex);
    for (const configuration::PeerSettings& peer : this->settings.peers) {
      auto found = this->reachable_peers.find(peer.host);
      if (peer.data_centre == this->settings.data_centre && found != this->reachable_peers.end()) {
        members.push_back({peer.host, found->second});
      }
    }
    return members;
  };
  hooks.send_best_effort = [this](const consensus::RaftMessage& message) {
    this->peer_network.SendBestEffort(message.to, protocol::ConsensusMessage{message});
  };
  hooks.on_view_agreed = [this](base::Epoch epoch, const auto& members) {
    this->OnViewAgreed(epoch, members);
  };
  hooks.on_membership_committed = [this](const consensus::RaftMembership& membership) {
    std::string voters;
    for (const HostId& voter : membership.voters) {
      voters += (voters.empty() ? "" : ",") + voter.value();
    }
    this->logger.Info("group membership committed", {{"voters", voters}});
  };
  return hooks;
}

consensus::RaftMembership EntryHost::Impl::InitialMembership() const {
  // FIXME: A data centre with two hosts needs a witness in a neighbouring data centre as a third
  // voter. Without one, its view can't change after the loss of either host.
  consensus::RaftMembership membership;
  const auto add_host = [&](const HostId& host, bool has_disk) {
    (has_disk ? membership.voters : membership.learners).insert(host);
  };
  add_host(this->settings.host, !this->settings.data_folder.empty());
  for (const configuration::PeerSettings& peer : this->settings.peers) {
    if (peer.data_centre == this->settings.data_centre) {
      add_host(peer.host, peer.has_disk);
    }
  }
  return membership;
}

HostId EntryHost::Impl::ReachableHostIn(const base::DataCentreId& data_centre) const {
  for (const configuration::PeerSettings& peer : this->settings.peers) {
    if (peer.data_centre == data_centre && this->peer_network.IsPeerReachable(peer.host)) {
      return peer.host;
    }
  }
  return HostId();
}

bool EntryHost::Impl::OnTaskReport(const HostId& host, const TaskReport& report) {
  return this->job_service.OnTaskReport(host, report) ||
         this->request_router.OnReport(host, report);
}

protocol::Heartbeat EntryHost::Impl::MakeHeartbeat() {
  protocol::Heartbeat heartbeat;
  heartbeat.is_leaving = this->is_leaving;
  for (TargetKind kind : kTargetKinds) {
    heartbeat.target_kind_loads.push_back(ToMessage(kind, this->dispatcher.LoadOfKind(kind)));
  }
  return heartbeat;
}

std::string EntryHost::Impl::StatusDocument() {
  using Json = nlohmann::json;
  Json peers = Json::array();
  for (const configuration::PeerSettings& peer : this->settings.peers) {
    peers.push_back({{"host", peer.host.value()},
                     {"data_centre", peer.data_centre.value()},
                     {"up", this->peer_network.IsPeerReachable(peer.host)}});
  }
  Json targets = Json::array();
  for (const targets::TargetAnnouncement& target : this->dispatcher.OwnedTargets()) {
    targets.push_back({{"id", target.id.value()},
                       {"kind", base::TargetKindName(target.kind)},
                       {"address", target.address.value()},
                       {"slots", target.slots.value()},
                       {"leaving", target.leaving},
                       {"running", target.running_attempts.size()}});
  }
  Json loads = Json::object();
  for (TargetKind kind : kTargetKinds) {
    const scheduling::LoadSummary load = this->dispatcher.LoadOfKind(kind);
    loads[std::string(base::TargetKindName(kind))] = {{"free_slots", load.free_slots.value()},
                                                      {"slots", load.total_slots.value()},
                                                      {"queued", load.queued_tasks.value()}};
  }
  return Json({{"host", this->settings.host.value()},
               {"data_centre", this->settings.data_centre.value()},
               {"leaving", this->is_leaving.load()},
               {"view_confirmed", this->view_lease.CheckMemberLease().has_value()},
               {"work_in_flight", this->request_router.SubmissionsInFlight()},
               {"tasks_in_flight", this->dispatcher.TasksInFlight().value()},
               {"load", std::move(loads)},
               {"peers", std::move(peers)},
               {"targets", std::move(targets)}})
      .dump();
}

size_t EntryHost::Impl::WorkInFlight() {
  return this->request_router.SubmissionsInFlight() + this->job_service.SubmissionsInFlight() +
         static_cast<size_t>(this->dispatcher.TasksInFlight().value());
}

EntryHost::EntryHost(const configuration::Settings& settings, const std::string& shared_secret,
                     observability::Logger& logger, frontend::Authenticator authenticator)
    : impl(std::make_unique<Impl>(settings, shared_secret, logger, std::move(authenticator))) {}

EntryHost::~EntryHost() = default;

base::Result<void> EntryHost::Start() { return this->impl->Start(); }

void EntryHost::Drain() { this->impl->Drain(); }

base::NetworkAddress EntryHost::HttpAddress() const { return this->impl->HttpAddress(); }

}  // namespace sapphirecrank::entryhost
