#include "tests/jobs/job_coordinator_cluster.h"

#include <algorithm>

#include "jobs/replica_host_selection.h"

namespace sapphirecrank::jobs {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kViewLease(1500);

base::HostId HostIdOf(size_t host) {
  return base::HostId(std::string(1, static_cast<char>('a' + host)));
}

size_t HostIndexOf(const base::HostId& host) { return static_cast<size_t>(host.value()[0] - 'a'); }

std::string BodyOf(const base::TaskKey& key) {
  return key.submission.value() + "/" + std::to_string(key.index.value());
}

}  // namespace

JobCoordinatorCluster::JobCoordinatorCluster(size_t host_count, JobCoordinatorSettings settings)
    : settings(settings) {
  this->hosts.resize(host_count);
  for (size_t host = 0; host < host_count; ++host) {
    this->RestartHost(host);
  }
  this->DecideView();
  this->LearnAllViews();
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
  call.has_original_content = payload == "p";
  for (size_t i = 0; call.has_original_content && i < tasks; ++i) {
    this->reported_not_run.erase({id, base::TaskIndex(static_cast<uint32_t>(i))});
  }
  this->hosts[host].job_coordinator->Submit(
      submission, [this, &call](const JobResult& job_result) { this->OnResult(call, job_result); },
      [&call] { call.is_accepted = true; });
  return call;
}

JobCoordinatorCluster::Call& JobCoordinatorCluster::SubmitToOwner(const base::SubmissionId& id,
                                                                  size_t tasks) {
  return this->Submit(this->OwnerOf(id), id, tasks);
}

size_t JobCoordinatorCluster::OwnerOf(const base::SubmissionId& id) {
  base::HostId owner;
  for (size_t host = 0; host < this->hosts.size(); ++host) {
    if (!this->IsMemberOfLatestView(host)) {
      continue;
    }
    if (this->hosts[host].job_coordinator->StatusOf(id).state != JobStatus::State::kUnknown) {
      return HostIndexOf(this->hosts[host].job_coordinator->OwnerOf(id));
    }
    owner = this->hosts[host].job_coordinator->OwnerOf(id);
  }
  return HostIndexOf(owner);
}

size_t JobCoordinatorCluster::OwnerOfOr(const base::SubmissionId& id, size_t fallback) {
  for (size_t host = 0; host < this->hosts.size(); ++host) {
    if (this->IsMemberOfLatestView(host)) {
      size_t owner = this->OwnerOf(id);
      return this->hosts[owner].job_coordinator ? owner : fallback;
    }
  }
  return fallback;
}

size_t JobCoordinatorCluster::BackupOf(const base::SubmissionId& id) {
  std::vector<base::HostId> others;
  for (const MembershipView::Member& member : this->views.back().members) {
    if (HostIndexOf(member.host) != this->OwnerOf(id)) {
      others.push_back(member.host);
    }
  }
  return HostIndexOf(SelectReplicaHosts(id, others).owner);
}

void JobCoordinatorCluster::DeliverMessage(size_t position) {
  Message message = std::move(this->messages[position]);
  this->messages.erase(this->messages.begin() + static_cast<ptrdiff_t>(position));
  Host& to = this->hosts[message.to];
  bool is_cut_off = to.is_isolated != this->hosts[message.from].is_isolated;
  if (to.job_coordinator && !is_cut_off) {
    message.deliver(*to.job_coordinator);
  }
}

void JobCoordinatorCluster::DropMessage(size_t position) {
  this->messages.erase(this->messages.begin() + static_cast<ptrdiff_t>(position));
}

void JobCoordinatorCluster::DeliverAllMessages() {
  while (!this->messages.empty()) {
    this->DeliverMessage(0);
  }
}

void JobCoordinatorCluster::RunTask(size_t position, bool succeeded) {
  size_t host = 0;
  TaskStart start = this->TakePendingStart(position, host);
  if (++this->run_counts[start.key] > 1) {
    this->AddViolation("second run", start.key);
  }
  TaskReport report;
  report.epoch = start.epoch;
  report.key = start.key;
  report.placement = start.placement;
  report.verdict = base::ExecutionVerdict::kRan;
  report.succeeded = succeeded;
  report.body = BodyOf(start.key);
  this->QueueReport(report, host);
}

void JobCoordinatorCluster::RejectTask(size_t position) {
  size_t host = 0;
  TaskStart start = this->TakePendingStart(position, host);
  --this->live_placement_counts[start.key];
  TaskReport report;
  report.epoch = start.epoch;
  report.key = start.key;
  report.placement = start.placement;
  report.verdict = base::ExecutionVerdict::kNotRun;
  this->QueueReport(report, host);
}

void JobCoordinatorCluster::LoseTask(size_t position, bool has_run) {
  size_t host = 0;
  TaskStart start = this->TakePendingStart(position, host);
  this->run_counts[start.key] += has_run ? 1 : 0;
  TaskReport report;
  report.epoch = start.epoch;
  report.key = start.key;
  report.placement = start.placement;
  this->QueueReport(report, host);
}

void JobCoordinatorCluster::QueueReport(TaskReport report, size_t host) {
  this->reports.push_back(report);
  Message message;
  message.from = message.to = host;
  message.deliver = [report = std::move(report)](JobCoordinator& coordinator) {
    coordinator.OnTaskReport(report);
  };
  this->messages.push_back(std::move(message));
}

void JobCoordinatorCluster::KillHost(size_t host) { this->hosts[host].job_coordinator.reset(); }

void JobCoordinatorCluster::RestartHost(size_t host) {
  Host& restarted = this->hosts[host];
  restarted.incarnation = restarted.incarnation.Next();
  restarted.known_views = this->views.size();
  MembershipView::Member self{HostIdOf(host), restarted.incarnation};
  restarted.job_coordinator =
      std::make_unique<JobCoordinator>(self, this->settings, this->HooksOf(host));
}

void JobCoordinatorCluster::RestartHostInView(size_t host) {
  this->RestartHost(host);
  this->views.back().is_initial = false;
  for (MembershipView::Member& member : this->views.back().members) {
    if (HostIndexOf(member.host) != host) {
      continue;
    }
    member.incarnation = this->hosts[host].incarnation;
    this->hosts[host].job_coordinator->SetView(this->views.back());
    for (Host& other : this->hosts) {
      if (other.job_coordinator && !other.is_isolated && other.known_views == this->views.size()) {
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
    if (this->hosts[host].job_coordinator && !this->hosts[host].is_isolated) {
      view.members.push_back({HostIdOf(host), this->hosts[host].incarnation});
    }
  }
  if (!view.members.empty()) {
    this->views.push_back(std::move(view));
    this->view_times.push_back(this->clock.Now());
  }
}

void JobCoordinatorCluster::LearnNextView(size_t host) {
  Host& learning_host = this->hosts[host];
  if (learning_host.job_coordinator && !learning_host.is_isolated &&
      learning_host.known_views < this->views.size()) {
    learning_host.job_coordinator->SetView(this->views[learning_host.known_views++]);
  }
}

void JobCoordinatorCluster::LearnAllViews() {
  for (size_t host = 0; host < this->hosts.size(); ++host) {
    while (this->hosts[host].job_coordinator && !this->hosts[host].is_isolated &&
           this->hosts[host].known_views < this->views.size()) {
      this->LearnNextView(host);
    }
  }
}

void JobCoordinatorCluster::AdvanceTime(base::Duration duration) {
  this->clock.Advance(duration);
  for (Host& host : this->hosts) {
    if (host.job_coordinator) {
      host.job_coordinator->Tick();
    }
  }
}

void JobCoordinatorCluster::RunUntilSettled() {
  for (size_t host = 0; host < this->hosts.size(); ++host) {
    this->HealHost(host);
  }
  this->DecideView();
  this->LearnAllViews();
  constexpr int kRoundCount = 60;
  for (int round = 0; round < kRoundCount; ++round) {
    this->DeliverAllMessages();
    while (!this->pending_starts.empty()) {
      this->RunTask(0);
    }
    this->DeliverAllMessages();
    this->AdvanceTime(milliseconds(200));
  }
}

void JobCoordinatorCluster::RenewCopies() {
  constexpr int kRoundCount = 4;
  for (int round = 0; round < kRoundCount; ++round) {
    this->DeliverAllMessages();
    this->AdvanceTime(milliseconds(400));
  }
  this->DeliverAllMessages();
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

bool JobCoordinatorCluster::IsMemberOfLatestView(size_t host) const {
  const Host& checked_host = this->hosts[host];
  if (!checked_host.job_coordinator || checked_host.known_views < this->views.size()) {
    return false;
  }
  const std::vector<MembershipView::Member>& members = this->views.back().members;
  MembershipView::Member member{HostIdOf(host), checked_host.incarnation};
  return std::find(members.begin(), members.end(), member) != members.end();
}

size_t JobCoordinatorCluster::live_host_count() const {
  return static_cast<size_t>(
      std::count_if(this->hosts.begin(), this->hosts.end(),
                    [](const Host& host) { return host.job_coordinator != nullptr; }));
}

JobCoordinator::Hooks JobCoordinatorCluster::HooksOf(size_t host) {
  JobCoordinator::Hooks hooks;
  hooks.now = this->clock.AsClock();
  hooks.check_view_lease = [this, host]() -> base::Result<void> {
    if (!this->HasViewLease(host)) {
      return base::MakeErrorResult(base::ErrorCode::kUnavailable, "the view lease has expired");
    }
    return {};
  };
  hooks.select_replica_hosts = SelectReplicaHosts;
  hooks.submission_age = [this](const base::SubmissionId& id) {
    base::Duration created(std::stoll(id.value()));
    return std::optional<base::Duration>(this->clock.Now().time_since_epoch() - created);
  };
  hooks.send_record = [this, host](const base::HostId& to, const JobRecord& record) {
    this->Send(host, to, [host, record](JobCoordinator& coordinator) {
      coordinator.OnJobRecord(HostIdOf(host), record);
    });
  };
  hooks.send_record_ack = [this, host](const base::HostId& to, const RecordAck& ack) {
    this->Send(host, to, [host, ack](JobCoordinator& coordinator) {
      coordinator.OnRecordAck(HostIdOf(host), ack);
    });
  };
  hooks.start_tasks = [this, host](const std::vector<TaskStart>& task_starts) {
    this->OnTaskStarts(host, task_starts);
  };
  hooks.cancel_tasks = [this](const std::vector<TaskStart>& task_starts) {
    this->cancelled_task_count += task_starts.size();
  };
  hooks.write_record_to_disk = this->write_record_to_disk;
  hooks.may_run_unreplicated = [this](const Submission&) { return this->run_unreplicated; };
  return hooks;
}

bool JobCoordinatorCluster::HasViewLease(size_t host) const {
  // The lease of a view ends at the latest `kViewLease` after the next view was decided.
  size_t known_view_count = this->hosts[host].known_views;
  return known_view_count == this->views.size() ||
         (known_view_count > 0 &&
          this->clock.Now() < this->view_times[known_view_count] + kViewLease);
}

void JobCoordinatorCluster::Send(size_t from, const base::HostId& to,
                                 std::function<void(JobCoordinator&)> deliver) {
  Message message;
  message.from = from;
  message.to = HostIndexOf(to);
  message.deliver = std::move(deliver);
  this->messages.push_back(std::move(message));
}

void JobCoordinatorCluster::OnTaskStarts(size_t host, const std::vector<TaskStart>& task_starts) {
  for (const TaskStart& start : task_starts) {
    if (this->live_placement_counts[start.key]++ > 0) {
      this->AddViolation("second start", start.key);
    }
    if (this->reported_not_run.count(start.key) > 0) {
      this->AddViolation("start after \"not run\"", start.key);
    }
    this->pending_starts.push_back(start);
    this->pending_start_hosts.push_back(host);
  }
}

void JobCoordinatorCluster::OnResult(Call& call, const JobResult& job_result) {
  call.result = job_result;
  if (++call.result_count > 1) {
    this->AddViolation("second result", {call.id, base::TaskIndex()});
  }
  // The verdict of a conflict is about the content of this call, which differs from the job's.
  if (!call.has_original_content || job_result.error.code == base::ErrorCode::kConflict) {
    return;
  }
  for (size_t i = 0; i < job_result.task_results.size(); ++i) {
    const TaskResult& result = job_result.task_results[i];
    base::TaskKey key{call.id, result.index};
    bool is_mismatched =
        result.index.value() != i || (result.succeeded && result.body != BodyOf(key));
    if (is_mismatched || (job_result.succeeded && !result.succeeded)) {
      this->AddViolation("partial or mismatched result", key);
    }
    if (result.verdict == base::ExecutionVerdict::kRan && this->run_counts[key] != 1) {
      this->AddViolation("incorrect \"ran\"", key);
    }
    if (result.verdict == base::ExecutionVerdict::kNotRun) {
      this->CheckNotRun(call, result.index);
    }
  }
}

void JobCoordinatorCluster::CheckNotRun(const Call& call, base::TaskIndex index) {
  base::TaskKey key{call.id, index};
  if (this->live_placement_counts[key] > 0) {
    this->AddViolation("incorrect \"not run\"", key);
  }
  this->reported_not_run.insert(key);
}

TaskStart JobCoordinatorCluster::TakePendingStart(size_t position, size_t& host) {
  TaskStart start = this->pending_starts[position];
  host = this->pending_start_hosts[position];
  this->pending_starts.erase(this->pending_starts.begin() + static_cast<ptrdiff_t>(position));
  this->pending_start_hosts.erase(this->pending_start_hosts.begin() +
                                  static_cast<ptrdiff_t>(position));
  return start;
}

void JobCoordinatorCluster::AddViolation(const std::string& description, const base::TaskKey& key) {
  this->violations.push_back(description + " of " + BodyOf(key));
}

}  // namespace sapphirecrank::jobs
