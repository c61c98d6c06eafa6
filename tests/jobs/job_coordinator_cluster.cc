#include "tests/jobs/job_coordinator_cluster.h"

#include <algorithm>

#include "jobs/replica_host_selection.h"

namespace sapphirecrank::jobs {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kViewLease(1500);

base::HostId NameOf(size_t host) {
  return base::HostId(std::string(1, static_cast<char>('a' + host)));
}

size_t ToTaskIndex(const base::HostId& host) { return static_cast<size_t>(host.value()[0] - 'a'); }

std::string BodyOf(const base::TaskKey& key) {
  return key.submission.value() + "/" + std::to_string(key.index.value());
}

}  // namespace

JobCoordinatorCluster::JobCoordinatorCluster(size_t host_count, JobCoordinatorSettings settings)
    : settings(settings) {
  this->hosts.resize(host_count);
  for (size_t host = 0; host < host_count; ++host) {
    this->Restart(host);
  }
  this->DecideView();
  this->LearnAll();
}

JobCoordinatorSettings JobCoordinatorCluster::Settings() {
  JobCoordinatorSettings settings;
  settings.shard_count = 2;
  settings.maximum_clock_skew = milliseconds(10);
  return settings;
}

base::SubmissionId JobCoordinatorCluster::NewId() {
  return base::SubmissionId(std::to_string(this->clock.Now().time_since_epoch().count()) + "-" +
                            std::to_string(this->next_id++));
}

JobCoordinatorCluster::Call& JobCoordinatorCluster::Submit(size_t host,
                                                           const base::SubmissionId& id,
                                                           size_t tasks,
                                                           const std::string& payload) {
  auto submission = std::make_shared<Submission>();
  submission->id = id;
  submission->team = base::TeamId(id.value().back() % 2 == 0 ? "even" : "odd");
  submission->time_left = std::chrono::seconds(5);
  submission->tasks.resize(tasks);
  submission->tasks[0].payload = payload;
  Call& call = this->calls.emplace_back();
  call.id = id;
  call.host = host;
  call.incarnation = this->hosts[host].incarnation;
  call.own_content = payload == "p";
  for (size_t i = 0; call.own_content && i < tasks; ++i) {
    this->called_not_run.erase({id, base::TaskIndex(static_cast<uint32_t>(i))});
  }
  this->hosts[host].job_coordinator->Submit(
      submission, [this, &call](const JobResult& answer) { this->OnResult(call, answer); },
      [&call] { call.accepted = true; });
  return call;
}

JobCoordinatorCluster::Call& JobCoordinatorCluster::SubmitToOwner(const base::SubmissionId& id,
                                                                  size_t tasks) {
  return this->Submit(this->OwnerOf(id), id, tasks);
}

size_t JobCoordinatorCluster::OwnerOf(const base::SubmissionId& id) {
  base::HostId owner;
  for (size_t host = 0; host < this->hosts.size(); ++host) {
    if (!this->IsMember(host)) {
      continue;
    }
    if (this->hosts[host].job_coordinator->StatusOf(id).state != JobStatus::State::kUnknown) {
      return ToTaskIndex(this->hosts[host].job_coordinator->OwnerOf(id));
    }
    owner = this->hosts[host].job_coordinator->OwnerOf(id);
  }
  return ToTaskIndex(owner);
}

size_t JobCoordinatorCluster::OwnerOfOr(const base::SubmissionId& id, size_t fallback) {
  for (size_t host = 0; host < this->hosts.size(); ++host) {
    if (this->IsMember(host)) {
      size_t owner = this->OwnerOf(id);
      return this->hosts[owner].job_coordinator ? owner : fallback;
    }
  }
  return fallback;
}

size_t JobCoordinatorCluster::BackupOf(const base::SubmissionId& id) {
  std::vector<base::HostId> others;
  for (const MembershipView::Member& member : this->views.back().members) {
    if (ToTaskIndex(member.host) != this->OwnerOf(id)) {
      others.push_back(member.host);
    }
  }
  return ToTaskIndex(SelectReplicaHosts(id, others).owner);
}

void JobCoordinatorCluster::Deliver(size_t position) {
  Message message = std::move(this->messages[position]);
  this->messages.erase(this->messages.begin() + static_cast<ptrdiff_t>(position));
  Host& to = this->hosts[message.to];
  bool cut = to.isolated != this->hosts[message.from].isolated;
  if (to.job_coordinator && !cut) {
    message.deliver(*to.job_coordinator);
  }
}

void JobCoordinatorCluster::Drop(size_t position) {
  this->messages.erase(this->messages.begin() + static_cast<ptrdiff_t>(position));
}

void JobCoordinatorCluster::DeliverAll() {
  while (!this->messages.empty()) {
    this->Deliver(0);
  }
}

void JobCoordinatorCluster::Run(size_t position, bool ok) {
  size_t host = 0;
  TaskStart start = this->TakePending(position, host);
  if (++this->runs[start.key] > 1) {
    this->Violate("second run", start.key);
  }
  TaskReport report;
  report.epoch = start.epoch;
  report.key = start.key;
  report.placement = start.placement;
  report.verdict = base::ExecutionVerdict::kRan;
  report.succeeded = ok;
  report.body = BodyOf(start.key);
  this->Report(report, host);
}

void JobCoordinatorCluster::Refuse(size_t position) {
  size_t host = 0;
  TaskStart start = this->TakePending(position, host);
  --this->alive[start.key];
  TaskReport report;
  report.epoch = start.epoch;
  report.key = start.key;
  report.placement = start.placement;
  report.verdict = base::ExecutionVerdict::kNotRun;
  this->Report(report, host);
}

void JobCoordinatorCluster::Lose(size_t position, bool run) {
  size_t host = 0;
  TaskStart start = this->TakePending(position, host);
  this->runs[start.key] += run ? 1 : 0;
  TaskReport report;
  report.epoch = start.epoch;
  report.key = start.key;
  report.placement = start.placement;
  this->Report(report, host);
}

void JobCoordinatorCluster::Report(TaskReport report, size_t host) {
  this->reports.push_back(report);
  Message message;
  message.from = message.to = host;
  message.deliver = [report = std::move(report)](JobCoordinator& ledger) {
    ledger.OnTaskReport(report);
  };
  this->messages.push_back(std::move(message));
}

void JobCoordinatorCluster::Kill(size_t host) { this->hosts[host].job_coordinator.reset(); }

void JobCoordinatorCluster::Restart(size_t host) {
  Host& restarted = this->hosts[host];
  restarted.incarnation = restarted.incarnation.Next();
  restarted.known_views = this->views.size();
  MembershipView::Member self{NameOf(host), restarted.incarnation};
  restarted.job_coordinator =
      std::make_unique<JobCoordinator>(self, this->settings, this->HooksOf(host));
}

void JobCoordinatorCluster::RestartInView(size_t host) {
  this->Restart(host);
  this->views.back().is_initial = false;
  for (MembershipView::Member& member : this->views.back().members) {
    if (ToTaskIndex(member.host) != host) {
      continue;
    }
    member.incarnation = this->hosts[host].incarnation;
    this->hosts[host].job_coordinator->SetView(this->views.back());
    for (Host& other : this->hosts) {
      if (other.job_coordinator && !other.isolated && other.known_views == this->views.size()) {
        other.job_coordinator->OnHostRestart(member);
      }
    }
  }
}

void JobCoordinatorCluster::DecideView() {
  MembershipView view;
  view.epoch = base::Epoch(this->views.size() + 1);
  view.is_initial = this->views.empty();
  for (size_t host = 0; host < this->hosts.size(); ++host) {
    if (this->hosts[host].job_coordinator && !this->hosts[host].isolated) {
      view.members.push_back({NameOf(host), this->hosts[host].incarnation});
    }
  }
  if (!view.members.empty()) {
    this->views.push_back(std::move(view));
    this->view_times.push_back(this->clock.Now());
  }
}

void JobCoordinatorCluster::Learn(size_t host) {
  Host& learner = this->hosts[host];
  if (learner.job_coordinator && !learner.isolated && learner.known_views < this->views.size()) {
    learner.job_coordinator->SetView(this->views[learner.known_views++]);
  }
}

void JobCoordinatorCluster::LearnAll() {
  for (size_t host = 0; host < this->hosts.size(); ++host) {
    while (this->hosts[host].job_coordinator && !this->hosts[host].isolated &&
           this->hosts[host].known_views < this->views.size()) {
      this->Learn(host);
    }
  }
}

void JobCoordinatorCluster::Advance(base::Duration step) {
  this->clock.Advance(step);
  for (Host& host : this->hosts) {
    if (host.job_coordinator) {
      host.job_coordinator->Tick();
    }
  }
}

void JobCoordinatorCluster::Settle() {
  for (size_t host = 0; host < this->hosts.size(); ++host) {
    this->Heal(host);
  }
  this->DecideView();
  this->LearnAll();
  constexpr int kRounds = 60;
  for (int round = 0; round < kRounds; ++round) {
    this->DeliverAll();
    while (!this->pending.empty()) {
      this->Run(0);
    }
    this->DeliverAll();
    this->Advance(milliseconds(200));
  }
}

void JobCoordinatorCluster::Repair() {
  constexpr int kRounds = 4;
  for (int round = 0; round < kRounds; ++round) {
    this->DeliverAll();
    this->Advance(milliseconds(400));
  }
  this->DeliverAll();
}

bool JobCoordinatorCluster::IsKnown(const base::SubmissionId& id) {
  return std::any_of(this->hosts.begin(), this->hosts.end(), [&](const Host& host) {
    return host.job_coordinator &&
           host.job_coordinator->StatusOf(id).state != JobStatus::State::kUnknown;
  });
}

bool JobCoordinatorCluster::IsEnded(const base::SubmissionId& id) {
  return std::any_of(this->hosts.begin(), this->hosts.end(), [&](const Host& host) {
    JobStatus status = host.job_coordinator ? host.job_coordinator->StatusOf(id) : JobStatus();
    return status.state == JobStatus::State::kSucceeded ||
           status.state == JobStatus::State::kFailed;
  });
}

bool JobCoordinatorCluster::IsMember(size_t host) const {
  const Host& asked = this->hosts[host];
  if (!asked.job_coordinator || asked.known_views < this->views.size()) {
    return false;
  }
  const std::vector<MembershipView::Member>& members = this->views.back().members;
  MembershipView::Member member{NameOf(host), asked.incarnation};
  return std::find(members.begin(), members.end(), member) != members.end();
}

size_t JobCoordinatorCluster::alive_count() const {
  return static_cast<size_t>(
      std::count_if(this->hosts.begin(), this->hosts.end(),
                    [](const Host& host) { return host.job_coordinator != nullptr; }));
}

JobCoordinator::Hooks JobCoordinatorCluster::HooksOf(size_t host) {
  JobCoordinator::Hooks hooks;
  hooks.now = this->clock.AsClock();
  hooks.check_view_lease = [this, host]() -> base::Result<void> {
    if (!this->HasViewLease(host)) {
      return base::MakeErrorResult(base::ErrorCode::kUnavailable, "the lease has ended");
    }
    return {};
  };
  hooks.select_replica_hosts = SelectReplicaHosts;
  hooks.submission_age = [this](const base::SubmissionId& id) {
    base::Duration created(std::stoll(id.value()));
    return std::optional<base::Duration>(this->clock.Now().time_since_epoch() - created);
  };
  hooks.send_record = [this, host](const base::HostId& to, const JobRecord& record) {
    this->Send(host, to, [host, record](JobCoordinator& ledger) {
      ledger.OnJobRecord(NameOf(host), record);
    });
  };
  hooks.send_record_ack = [this, host](const base::HostId& to, const RecordAck& ack) {
    this->Send(host, to,
               [host, ack](JobCoordinator& ledger) { ledger.OnRecordAck(NameOf(host), ack); });
  };
  hooks.start_tasks = [this, host](const std::vector<TaskStart>& starts) {
    this->OnStarts(host, starts);
  };
  hooks.cancel_tasks = [this](const std::vector<TaskStart>& starts) {
    this->cancels += starts.size();
  };
  hooks.write_record_to_disk = this->write_disk;
  hooks.may_run_unreplicated = [this](const Submission&) { return this->run_unreplicated; };
  return hooks;
}

bool JobCoordinatorCluster::HasViewLease(size_t host) const {
  // The lease of a view ends at the latest some time after the next one was decided.
  size_t known = this->hosts[host].known_views;
  return known == this->views.size() ||
         (known > 0 && this->clock.Now() < this->view_times[known] + kViewLease);
}

void JobCoordinatorCluster::Send(size_t from, const base::HostId& to,
                                 std::function<void(JobCoordinator&)> deliver) {
  Message message;
  message.from = from;
  message.to = ToTaskIndex(to);
  message.deliver = std::move(deliver);
  this->messages.push_back(std::move(message));
}

void JobCoordinatorCluster::OnStarts(size_t host, const std::vector<TaskStart>& starts) {
  for (const TaskStart& start : starts) {
    if (this->alive[start.key]++ > 0) {
      this->Violate("second start", start.key);
    }
    if (this->called_not_run.count(start.key) > 0) {
      this->Violate("start after \"not run\"", start.key);
    }
    this->pending.push_back(start);
    this->pending_hosts.push_back(host);
  }
}

void JobCoordinatorCluster::OnResult(Call& call, const JobResult& answer) {
  call.result = answer;
  if (++call.result_count > 1) {
    this->Violate("second answer", {call.id, base::TaskIndex()});
  }
  // The verdict of a conflict is about the content of this call, which isn't the job's.
  if (!call.own_content || answer.error.code == base::ErrorCode::kConflict) {
    return;
  }
  for (size_t i = 0; i < answer.task_results.size(); ++i) {
    const TaskResult& result = answer.task_results[i];
    base::TaskKey key{call.id, result.index};
    bool crossed = result.index.value() != i || (result.succeeded && result.body != BodyOf(key));
    if (crossed || (answer.succeeded && !result.succeeded)) {
      this->Violate("partial or crossed answer", key);
    }
    if (result.verdict == base::ExecutionVerdict::kRan && this->runs[key] != 1) {
      this->Violate("untrue \"ran\"", key);
    }
    if (result.verdict == base::ExecutionVerdict::kNotRun) {
      this->CheckNotRun(call, result.index);
    }
  }
}

void JobCoordinatorCluster::CheckNotRun(const Call& call, base::TaskIndex index) {
  base::TaskKey key{call.id, index};
  if (this->alive[key] > 0) {
    this->Violate("untrue \"not run\"", key);
  }
  this->called_not_run.insert(key);
}

TaskStart JobCoordinatorCluster::TakePending(size_t position, size_t& host) {
  TaskStart start = this->pending[position];
  host = this->pending_hosts[position];
  this->pending.erase(this->pending.begin() + static_cast<ptrdiff_t>(position));
  this->pending_hosts.erase(this->pending_hosts.begin() + static_cast<ptrdiff_t>(position));
  return start;
}

void JobCoordinatorCluster::Violate(const std::string& what, const base::TaskKey& key) {
  this->violations.push_back(what + " of " + BodyOf(key));
}

}  // namespace sapphirecrank::jobs
