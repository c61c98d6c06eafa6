#include "entryhost/entry_host.h"

#include <atomic>
#include <map>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <thread>
#include <utility>

#include "base/rendezvous_hash.h"
#include "base/timer_queue.h"
#include "base/worker_pool.h"
#include "dispatch/dispatcher.h"
#include "dispatch/load_table.h"
#include "dispatch/request_router.h"
#include "dispatch/result_batcher.h"
#include "entryhost/message_translation.h"
#include "frontend/api_router.h"
#include "frontend/http_server.h"
#include "outbound/target_client.h"
#include "peers/peer_network.h"

namespace sapphirecrank::entryhost {

using base::Duration;
using base::ErrorCode;
using base::HostId;
using base::SubmissionId;
using base::TargetId;
using base::TargetKind;
using base::TimePoint;
using base::Verdict;
using dispatch::Assignment;
using dispatch::TaskReport;
using frontend::CallerWork;
using frontend::WorkAnswer;

namespace {

constexpr Duration kTick = std::chrono::milliseconds(5);
constexpr Duration kResultWindow = std::chrono::milliseconds(2);
constexpr size_t kWorkerThreads = 4;
// A new owner of a target waits for the end of the previous owner's lease.
constexpr Duration kOwnershipDelay = std::chrono::seconds(2);
// Long enough for peers to learn by two heartbeats that this host takes no new work.
constexpr Duration kDrainNotice = std::chrono::milliseconds(500);
constexpr Duration kDrainPoll = std::chrono::milliseconds(10);
constexpr Duration kDeliveryLimit = std::chrono::seconds(2);
constexpr TargetKind kTargetKinds[] = {TargetKind::kRunner, TargetKind::kWorker};

base::Incarnation RandomIncarnation() {
  std::random_device device;
  return base::Incarnation((static_cast<uint64_t>(device()) << 32) | device());
}

base::Error ShuttingDown() {
  return {ErrorCode::kShuttingDown, "", "the entry host is shutting down", Verdict::kNotRun};
}

base::Error Stopped() {
  return {ErrorCode::kShuttingDown, "", "the entry host stopped", Verdict::kMayHaveRun};
}

/// Combines the reports of all tasks into one answer: complete or failed.
WorkAnswer ToAnswer(const std::vector<TaskReport>& reports) {
  WorkAnswer answer;
  Verdict verdict = reports.front().verdict;
  for (const TaskReport& report : reports) {
    verdict = base::CombineParts(verdict, report.verdict);
    // The first failure that isn't a consequence of another one is the reason.
    const bool is_better = !answer.error || answer.error->code == ErrorCode::kCancelled;
    if (!report.succeeded && is_better) {
      answer.error = report.error;
    }
    answer.tasks.push_back({report.succeeded, report.verdict, report.body, report.error});
  }
  if (answer.error) {
    answer.error->verdict = verdict;
  }
  return answer;
}

}  // namespace

class EntryHost::Impl {
 public:
  Impl(const configuration::Settings& settings, const std::string& secret,
       observability::Logger& logger);
  ~Impl();

  base::Result<void> Start();
  void Drain();
  base::NetworkAddress HttpAddress() const { return this->http.Address(); }

 private:
  dispatch::Dispatcher::Hooks DispatcherHooks();
  dispatch::RequestRouter::Hooks RouterHooks();
  dispatch::ResultBatcher::Hooks BatcherHooks();
  peers::PeerNetwork::Hooks PeerHooks();
  frontend::ApiRouter::Hooks ApiHooks();
  peers::PeerSettings MakePeerSettings(const std::string& secret) const;

  void Run(CallerWork work, const frontend::ApiRouter::OnAnswer& on_answer);
  base::Result<HostId> Announce(const targets::TargetAnnouncement& announcement);
  HostId OwnerOf(const TargetId& target) const;
  std::vector<dispatch::HostLoad> Loads(TargetKind kind);
  bool Assign(const HostId& host, const std::vector<Assignment>& tasks);
  void Cancel(const HostId& host, const SubmissionId& submission);
  void Report(const HostId& host, const TaskReport& report);
  void OnMessage(const HostId& host, const protocol::Message& message);
  void OnAssignTasks(const HostId& host, const protocol::AssignTasks& message);
  void OnHeartbeat(const HostId& host, const protocol::Heartbeat& heartbeat);
  void OnMembersChanged();
  protocol::Heartbeat MakeHeartbeat();
  std::string Status();
  size_t InFlight();

  configuration::Settings settings;
  observability::Logger& logger;
  base::Clock now;
  base::Incarnation incarnation;
  std::atomic<bool> leaving{false};
  std::atomic<uint64_t> next_request{1};
  // Time from which this host may start work on its targets.
  std::atomic<Duration::rep> usable_from;
  std::set<base::TeamId> teams;
  dispatch::LoadTable loads;
  outbound::TargetClient client;
  dispatch::Dispatcher dispatcher;
  dispatch::RequestRouter router;
  dispatch::ResultBatcher batcher;
  frontend::ApiRouter api;
  // The threads of what follows call what is above; the destructor stops them first.
  peers::PeerNetwork network;
  std::unique_ptr<base::WorkerPool> pool;
  std::unique_ptr<base::TimerQueue> timers;
  frontend::HttpServer http;
};

EntryHost::Impl::Impl(const configuration::Settings& settings, const std::string& secret,
                      observability::Logger& logger)
    : settings(settings),
      logger(logger),
      now(base::SteadyClock()),
      incarnation(RandomIncarnation()),
      usable_from((this->now() + kOwnershipDelay).time_since_epoch().count()),
      client(outbound::TargetClientSettings()),
      dispatcher(settings.host.value() + "/" + std::to_string(this->incarnation.value()) + "/",
                 this->DispatcherHooks()),
      router(this->RouterHooks()),
      batcher(kResultWindow, this->BatcherHooks()),
      api(this->ApiHooks()),
      network(this->MakePeerSettings(secret), this->PeerHooks()),
      pool(std::make_unique<base::WorkerPool>("worker", kWorkerThreads)),
      timers(std::make_unique<base::TimerQueue>("timers")),
      http({settings.http_listen}, [this](const auto& request, const auto& respond) {
        this->api.Handle(request, respond);
      }) {
  for (const configuration::TeamSettings& team : settings.teams) {
    this->teams.insert(team.id);
  }
}

EntryHost::Impl::~Impl() {
  this->leaving = true;
  this->router.EndAll(Stopped());
  this->http.Stop();
  this->network.Stop();
  this->timers.reset();
  this->pool.reset();
  this->client.Stop();
}

base::Result<void> EntryHost::Impl::Start() {
  const auto network_started = this->network.Start();
  if (!network_started) {
    return network_started;
  }
  this->timers->RunEvery(kTick, [this] {
    this->dispatcher.Tick();
    this->router.Tick();
  });
  this->timers->RunEvery(kResultWindow, [this] { this->batcher.Flush(); });
  return this->http.Start();
}

void EntryHost::Impl::Drain() {
  this->leaving = true;
  const TimePoint notice_end = this->now() + kDrainNotice;
  while (this->now() < notice_end || this->InFlight() > 0) {
    std::this_thread::sleep_for(kDrainPoll);
  }
  this->http.Stop();
  this->network.WaitUntilDelivered(kDeliveryLimit);
}

dispatch::Dispatcher::Hooks EntryHost::Impl::DispatcherHooks() {
  dispatch::Dispatcher::Hooks hooks;
  hooks.now = this->now;
  hooks.usable_from = [this] { return TimePoint(Duration(this->usable_from.load())); };
  hooks.call_target = [this](const auto& call, auto on_done) {
    this->client.Start(call, std::move(on_done));
  };
  hooks.report = [this](const HostId& host, const TaskReport& report) {
    this->Report(host, report);
  };
  return hooks;
}

dispatch::RequestRouter::Hooks EntryHost::Impl::RouterHooks() {
  dispatch::RequestRouter::Hooks hooks;
  hooks.now = this->now;
  hooks.loads = [this](TargetKind kind) { return this->Loads(kind); };
  hooks.assign = [this](const HostId& host, const auto& tasks) {
    return this->Assign(host, tasks);
  };
  hooks.cancel = [this](const HostId& host, const SubmissionId& submission) {
    this->Cancel(host, submission);
  };
  return hooks;
}

dispatch::ResultBatcher::Hooks EntryHost::Impl::BatcherHooks() {
  return {this->now, [this](const HostId& host, const std::vector<TaskReport>& reports) {
            // A report that can't be sent is for a host that has already ended these tasks with
            // "may have run" because this host was lost to it.
            this->network.Send(host, ToMessage(reports));
          }};
}

peers::PeerNetwork::Hooks EntryHost::Impl::PeerHooks() {
  peers::PeerNetwork::Hooks hooks;
  hooks.now = this->now;
  hooks.on_message = [this](const HostId& host, protocol::Message message) {
    const size_t key = std::hash<HostId>()(host);
    this->pool->Run(key,
                    [this, host, message = std::move(message)] { this->OnMessage(host, message); });
  };
  hooks.on_up = [this](const HostId& host) {
    this->logger.Info("peer is up", {{"peer", host.value()}});
    this->pool->Run(std::hash<HostId>()(host), [this] { this->OnMembersChanged(); });
  };
  hooks.on_lost = [this](const HostId& host) {
    this->logger.Warning("peer is lost", {{"peer", host.value()}});
    this->pool->Run(std::hash<HostId>()(host), [this, host] {
      this->loads.Remove(host);
      this->router.OnHostLost(host);
      this->OnMembersChanged();
    });
  };
  hooks.heartbeat = [this] { return this->MakeHeartbeat(); };
  hooks.on_fault = [this](const HostId& host, const std::string& reason) {
    this->logger.Warning("peer link fault", {{"peer", host.value()}, {"reason", reason}});
  };
  return hooks;
}

frontend::ApiRouter::Hooks EntryHost::Impl::ApiHooks() {
  frontend::ApiRouter::Hooks hooks;
  hooks.run = [this](CallerWork work, const auto& on_answer) {
    this->Run(std::move(work), on_answer);
  };
  hooks.cancel = [this](const SubmissionId& submission) -> base::Result<void> {
    if (!this->router.Cancel(submission)) {
      return base::Fail(ErrorCode::kNotFound, "no such job is under way here", "submission",
                        Verdict::kMayHaveRun);
    }
    return {};
  };
  hooks.announce = [this](const auto& announcement) { return this->Announce(announcement); };
  hooks.status = [this] { return this->Status(); };
  hooks.metrics = [] { return std::string(); };
  return hooks;
}

peers::PeerSettings EntryHost::Impl::MakePeerSettings(const std::string& secret) const {
  peers::PeerSettings peer_settings;
  peer_settings.host = this->settings.host;
  peer_settings.data_centre = this->settings.data_centre;
  peer_settings.incarnation = this->incarnation;
  peer_settings.listen = this->settings.peer_listen;
  peer_settings.secret = secret;
  for (const configuration::HostAddress& peer : this->settings.peers) {
    peer_settings.peers.push_back({peer.host, peer.data_centre, peer.address});
  }
  return peer_settings;
}

void EntryHost::Impl::Run(CallerWork work, const frontend::ApiRouter::OnAnswer& on_answer) {
  if (this->leaving) {
    on_answer({ShuttingDown(), {}});
    return;
  }
  if (this->teams.count(work.team) == 0) {
    on_answer({base::Error{ErrorCode::kInvalidArgument, "team",
                           "unknown team '" + work.team.value() + "'", Verdict::kNotRun},
               {}});
    return;
  }
  const bool is_request = work.submission.empty();
  const SubmissionId submission =
      is_request ? SubmissionId("request/" + this->settings.host.value() + "/" +
                                std::to_string(this->incarnation.value()) + "/" +
                                std::to_string(this->next_request++))
                 : work.submission;
  const TimePoint deadline = this->now() + work.deadline;
  std::vector<Assignment> tasks;
  tasks.reserve(work.tasks.size());
  for (size_t i = 0; i < work.tasks.size(); ++i) {
    frontend::CallerTask& task = work.tasks[i];
    Assignment assignment;
    assignment.spec = {{submission, base::TaskIndex(static_cast<uint32_t>(i))},
                       work.team,
                       task.kind,
                       work.work_class,
                       work.target_kind,
                       task.declared,
                       task.declared_run_time,
                       deadline,
                       task.idempotent};
    assignment.payload = std::move(task.payload);
    tasks.push_back(std::move(assignment));
  }
  const bool is_started = this->router.Submit(
      std::move(tasks), [on_answer](const auto& reports) { on_answer(ToAnswer(reports)); });
  if (!is_started) {
    on_answer({base::Error{ErrorCode::kConflict, "submission", "this job is under way",
                           Verdict::kMayHaveRun},
               {}});
  }
}

base::Result<HostId> EntryHost::Impl::Announce(const targets::TargetAnnouncement& announcement) {
  if (announcement.data_centre != this->settings.data_centre) {
    return base::Fail(
        ErrorCode::kInvalidArgument,
        "this entry host belongs to data centre '" + this->settings.data_centre.value() + "'",
        "data_centre");
  }
  const HostId owner = this->OwnerOf(announcement.id);
  if (owner == this->settings.host) {
    this->dispatcher.Announce(announcement);
  } else {
    this->network.SendUnnumbered(owner, ToMessage(announcement));
  }
  return owner;
}

HostId EntryHost::Impl::OwnerOf(const TargetId& target) const {
  HostId best = this->settings.host;
  uint64_t best_score = base::RendezvousScore(best.value(), target.value());
  for (const configuration::HostAddress& peer : this->settings.peers) {
    if (peer.data_centre != this->settings.data_centre || !this->network.IsUp(peer.host)) {
      continue;
    }
    const uint64_t score = base::RendezvousScore(peer.host.value(), target.value());
    if (score > best_score) {
      best = peer.host;
      best_score = score;
    }
  }
  return best;
}

std::vector<dispatch::HostLoad> EntryHost::Impl::Loads(TargetKind kind) {
  std::vector<dispatch::HostLoad> all = {{this->settings.host, this->dispatcher.Load(kind)}};
  std::set<HostId> local;
  for (const configuration::HostAddress& peer : this->settings.peers) {
    if (peer.data_centre == this->settings.data_centre && this->network.IsUp(peer.host)) {
      local.insert(peer.host);
    }
  }
  // FIXME: work that no target of this data centre could hold waits here until its deadline instead
  // of going to another data centre.
  for (const dispatch::HostLoad& load : this->loads.Loads(kind)) {
    if (local.count(load.host) > 0) {
      all.push_back(load);
    }
  }
  return all;
}

bool EntryHost::Impl::Assign(const HostId& host, const std::vector<Assignment>& tasks) {
  if (host == this->settings.host) {
    this->dispatcher.Assign(host, tasks);
    return true;
  }
  return this->network.Send(host, ToMessage(tasks, this->now()));
}

void EntryHost::Impl::Cancel(const HostId& host, const SubmissionId& submission) {
  if (host == this->settings.host) {
    this->dispatcher.Cancel(submission);
    return;
  }
  this->network.Send(host, protocol::CancelTasks{submission});
}

void EntryHost::Impl::Report(const HostId& host, const TaskReport& report) {
  if (host == this->settings.host) {
    this->router.OnReport(host, report);
    return;
  }
  this->batcher.Add(host, report);
}

void EntryHost::Impl::OnMessage(const HostId& host, const protocol::Message& message) {
  if (const auto* assign = std::get_if<protocol::AssignTasks>(&message)) {
    this->OnAssignTasks(host, *assign);
  } else if (const auto* results = std::get_if<protocol::TaskResults>(&message)) {
    for (const TaskReport& report : FromMessage(*results)) {
      this->router.OnReport(host, report);
    }
  } else if (const auto* cancel = std::get_if<protocol::CancelTasks>(&message)) {
    this->dispatcher.Cancel(cancel->submission);
  } else if (const auto* heartbeat = std::get_if<protocol::Heartbeat>(&message)) {
    this->OnHeartbeat(host, *heartbeat);
  } else if (const auto* forwarded = std::get_if<protocol::ForwardAnnouncement>(&message)) {
    const targets::TargetAnnouncement announcement = FromMessage(*forwarded);
    if (this->OwnerOf(announcement.id) == this->settings.host) {
      this->dispatcher.Announce(announcement);
    }
  }
}

void EntryHost::Impl::OnAssignTasks(const HostId& host, const protocol::AssignTasks& message) {
  std::vector<Assignment> tasks = FromMessage(message, this->now());
  if (!this->leaving) {
    this->dispatcher.Assign(host, std::move(tasks));
    return;
  }
  for (const Assignment& task : tasks) {
    TaskReport refusal;
    refusal.key = task.spec.key;
    refusal.placement = task.placement;
    refusal.verdict = Verdict::kNotRun;
    refusal.error = ShuttingDown();
    this->batcher.Add(host, refusal);
  }
}

void EntryHost::Impl::OnHeartbeat(const HostId& host, const protocol::Heartbeat& heartbeat) {
  std::map<TargetKind, scheduling::LoadSummary> summaries;
  for (const protocol::KindLoad& load : heartbeat.loads) {
    summaries[load.kind] = FromMessage(load);
  }
  this->loads.Update(host, heartbeat.leaving, summaries);
}

void EntryHost::Impl::OnMembersChanged() {
  // FIXME: the members are what this host sees. Two hosts that disagree can both own a target and
  // overcommit its slots until the view of a data centre is agreed on by its group.
  this->usable_from = (this->now() + kOwnershipDelay).time_since_epoch().count();
  this->dispatcher.RetainTargets(
      [this](const TargetId& target) { return this->OwnerOf(target) == this->settings.host; });
}

protocol::Heartbeat EntryHost::Impl::MakeHeartbeat() {
  protocol::Heartbeat heartbeat;
  heartbeat.leaving = this->leaving;
  for (TargetKind kind : kTargetKinds) {
    heartbeat.loads.push_back(ToMessage(kind, this->dispatcher.Load(kind)));
  }
  return heartbeat;
}

std::string EntryHost::Impl::Status() {
  using Json = nlohmann::json;
  Json peers = Json::array();
  for (const configuration::HostAddress& peer : this->settings.peers) {
    peers.push_back({{"host", peer.host.value()},
                     {"data_centre", peer.data_centre.value()},
                     {"up", this->network.IsUp(peer.host)}});
  }
  Json targets = Json::array();
  for (const targets::TargetAnnouncement& target : this->dispatcher.Targets()) {
    targets.push_back({{"id", target.id.value()},
                       {"kind", base::TargetKindName(target.kind)},
                       {"address", target.address.value()},
                       {"slots", target.slots.value()},
                       {"leaving", target.leaving},
                       {"running", target.running.size()}});
  }
  Json loads = Json::object();
  for (TargetKind kind : kTargetKinds) {
    const scheduling::LoadSummary load = this->dispatcher.Load(kind);
    loads[std::string(base::TargetKindName(kind))] = {{"free_slots", load.free_slots.value()},
                                                      {"slots", load.total_slots.value()},
                                                      {"queued", load.queued.value()}};
  }
  return Json({{"host", this->settings.host.value()},
               {"data_centre", this->settings.data_centre.value()},
               {"leaving", this->leaving.load()},
               {"work_in_flight", this->router.InFlight()},
               {"tasks_in_flight", this->dispatcher.InFlight().value()},
               {"load", std::move(loads)},
               {"peers", std::move(peers)},
               {"targets", std::move(targets)}})
      .dump();
}

size_t EntryHost::Impl::InFlight() {
  return this->router.InFlight() + static_cast<size_t>(this->dispatcher.InFlight().value());
}

EntryHost::EntryHost(const configuration::Settings& settings, const std::string& secret,
                     observability::Logger& logger)
    : impl(std::make_unique<Impl>(settings, secret, logger)) {}

EntryHost::~EntryHost() = default;

base::Result<void> EntryHost::Start() { return this->impl->Start(); }

void EntryHost::Drain() { this->impl->Drain(); }

base::NetworkAddress EntryHost::HttpAddress() const { return this->impl->HttpAddress(); }

}  // namespace sapphirecrank::entryhost
