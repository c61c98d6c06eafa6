#include "tests/stored/scarce_targets_simulation.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace sapphirecrank::testing {

using base::HostId;
using base::SubmissionId;
using base::TaskCount;
using runs::RunEvent;
using std::chrono::milliseconds;
using stored::JobCommand;
using stored::JobScheduler;

namespace {

constexpr const char* kLeader = "leader";
constexpr base::Duration kStep = milliseconds(20);
constexpr const char* kService = "service";

}  // namespace

ScarceTargetsSimulation::ScarceTargetsSimulation()
    : selector(base::DataCentreId("zone"), this->clock.AsClock()),
      stored_jobs(
          [this](const std::vector<SubmissionId>& ids) { this->leader.OnJobsChanged(ids); }),
      leader({HostId(kLeader), std::chrono::hours(1)}, this->stored_jobs, this->Hooks()) {
  this->clock.Advance(std::chrono::seconds(100));
  for (const char* host : {"a0", "a1", "a2"}) {
    this->allocators[HostId(host)];
  }
}

JobScheduler::Hooks ScarceTargetsSimulation::Hooks() {
  JobScheduler::Hooks hooks;
  hooks.now = this->clock.AsClock();
  hooks.choose_allocator = [this](const base::ServiceId& service, TaskCount count,
                                  const runs::TaskRequirements& requirements,
                                  const std::set<HostId>& avoided) {
    return this->selector.ChooseAllocatorWithoutFullBacklog(service, count, requirements, avoided);
  };
  hooks.place_batch = [this](const HostId& host, const runs::TaskBatch& batch) {
    Allocator& allocator = this->allocators.at(host);
    allocator.scheduler.PlaceBatch(batch, this->clock.Now(), allocator.pending_actions);
    return true;
  };
  hooks.cancel_job = [](const HostId&, const SubmissionId&) {};
  hooks.remove_job_records = [](const std::vector<SubmissionId>&) {};
  hooks.supersede_runs = [this](const JobCommand::SupersedeRuns& command) {
    this->stored_jobs.Apply(JobCommand{command}.Encode());
  };
  hooks.on_leadership_change = [](bool /*leads*/) {};
  return hooks;
}

void ScarceTargetsSimulation::AddTarget(int allocator, const std::string& id,
                                        const std::string& label, const base::Resources& size) {
  this->targets.emplace(id, Target{SimulatedTarget(id, size, this->clock.Now()), label, size});
  this->allocators.at(HostId("a" + std::to_string(allocator))).target_ids.insert(id);
}

SubmissionId ScarceTargetsSimulation::Submit(const JobSpec& spec) {
  gateway::Job job;
  job.id = SubmissionId("job" + std::to_string(this->jobs.size()));
  job.service = base::ServiceId(kService);
  job.maximum_attempts = base::AttemptCount(4);
  gateway::JobStep step;
  step.task_count = TaskCount(spec.task_count);
  step.required_resources = spec.size;
  step.estimated_run_time = spec.run_time;
  step.placement_rule.required_label = base::LabelId(spec.label);
  job.steps = {step};
  this->jobs.emplace(job.id, spec);
  this->idle_since[job.id] = this->clock.Now();
  this->stored_jobs.Apply(JobCommand{JobCommand::Submit{job}}.Encode());
  return job.id;
}

void ScarceTargetsSimulation::WaitUntilLeading() {
  constexpr int kSteps = 150;
  for (int i = 0; i < kSteps; ++i) {
    this->Step();
  }
}

void ScarceTargetsSimulation::Step() {
  this->clock.Advance(kStep);
  const base::TimePoint now = this->clock.Now();
  this->FinishRuns();
  this->leader.OnLeaseHeld(base::Term(3));
  this->leader.Tick();
  for (auto& [host, allocator] : this->allocators) {
    allocator.scheduler.OnGatewayAlive(HostId(kLeader), now, now, allocator.pending_actions);
    this->ReportTargets(allocator);
    allocator.scheduler.Tick(now, allocator.pending_actions);
    this->ExecuteActions(host, allocator);
    runs::CapacityReport report;
    report.service_capacities = {allocator.scheduler.Capacity(now)};
    report.service_capacities[0].service = base::ServiceId(kService);
    this->selector.OnCapacityReport(host, report);
  }
  this->UpdateIdleWaits();
}

void ScarceTargetsSimulation::ReportTargets(Allocator& allocator) {
  for (const std::string& id : allocator.target_ids) {
    Target& target = this->targets.at(id);
    runs::TargetReport report = target.simulated.MakeReport(this->clock.Now());
    report.labels = {base::LabelId(target.label)};
    allocator.scheduler.OnTargetReport(report, base::FencingToken(1), this->clock.Now(),
                                       allocator.pending_actions);
  }
}

void ScarceTargetsSimulation::ExecuteActions(const HostId& host, Allocator& allocator) {
  constexpr int kMaximumRounds = 10;
  const base::TimePoint now = this->clock.Now();
  for (int round = 0; round < kMaximumRounds; ++round) {
    const runs::SchedulerActions actions = std::exchange(allocator.pending_actions, {});
    for (const runs::StartRequest& request : actions.start_requests) {
      this->StartRun(allocator, request);
    }
    for (const runs::StopRequest& request : actions.stop_requests) {
      SimulatedTarget& target = this->targets.at(request.target.id.value()).simulated;
      allocator.scheduler.OnStopResponse(request, target.StopRun(request, now), now,
                                         allocator.pending_actions);
    }
    for (const runs::PollRequest& request : actions.poll_requests) {
      SimulatedTarget& target = this->targets.at(request.target.id.value()).simulated;
      allocator.scheduler.OnPollResponse(request, target.Poll(request, now), now,
                                         allocator.pending_actions);
    }
    for (const RunEvent& event : actions.run_events) {
      this->DeliverRunEvent(allocator, event);
    }
    for (const runs::BatchResult& result : actions.batch_results) {
      this->leader.OnBatchEnd(host, result);
    }
  }
}

void ScarceTargetsSimulation::StartRun(Allocator& allocator, const runs::StartRequest& request) {
  const JobSpec& spec = this->jobs.at(request.key.task.job);
  const std::string id = request.target.id.value();
  const auto response =
      this->targets.at(id).simulated.StartRun(request, spec.size, this->clock.Now());
  if (response.status == runs::TargetCallStatus::kAccepted) {
    this->started_tasks[request.key.task.job].insert(request.key.task.index);
    this->active_runs.push_back({id, request.key, this->clock.Now() + spec.run_time});
  }
  allocator.scheduler.OnStartResponse(request, response, this->clock.Now(),
                                      allocator.pending_actions);
}

void ScarceTargetsSimulation::DeliverRunEvent(Allocator& allocator, const RunEvent& event) {
  using Disposition = JobScheduler::EventDisposition;
  Disposition disposition = this->leader.ClassifyRunEvent(event);
  if (disposition == Disposition::kPropose) {
    this->stored_jobs.Apply(JobCommand{
        JobCommand::RecordOutcomes{{{event.key, event.kind == RunEvent::Kind::kSucceeded}}}}
                                .Encode());
    disposition = this->leader.ClassifyRunEvent(event);
  }
  allocator.scheduler.OnEventAcknowledgement(event, disposition == Disposition::kSuperseded,
                                             this->clock.Now(), allocator.pending_actions);
}

void ScarceTargetsSimulation::FinishRuns() {
  std::vector<ActiveRun> remaining;
  for (const ActiveRun& run : this->active_runs) {
    SimulatedTarget& target = this->targets.at(run.target).simulated;
    if (this->clock.Now() < run.ends_at) {
      remaining.push_back(run);
    } else if (target.active_runs().count(run.key) > 0) {
      target.FinishRun(run.key, runs::FinishedRun::Outcome::kSucceeded);
    }
  }
  this->active_runs = std::move(remaining);
}

base::MilliCores ScarceTargetsSimulation::UsedProcessors(const Target& target) {
  base::MilliCores used;
  for (const auto& [key, size] : target.simulated.active_runs()) {
    used += size.processors;
  }
  return used;
}

bool ScarceTargetsSimulation::HasRoomForTwo(const JobSpec& spec) const {
  int64_t places = 0;
  base::MilliCores used;
  base::MilliCores total;
  for (const auto& [id, target] : this->targets) {
    used += UsedProcessors(target);
    total += target.size.processors;
    if (spec.label.empty() || spec.label == target.label) {
      const base::MilliCores free = target.size.processors - UsedProcessors(target);
      places += free.value() / spec.size.processors.value();
    }
  }
  return places >= 2 && 2 * used.value() < total.value();
}

void ScarceTargetsSimulation::UpdateIdleWaits() {
  std::set<SubmissionId> running_jobs;
  for (const auto& [id, target] : this->targets) {
    for (const auto& [key, size] : target.simulated.active_runs()) {
      running_jobs.insert(key.task.job);
    }
  }
  for (auto waiting = this->idle_since.begin(); waiting != this->idle_since.end();) {
    auto& [id, since] = *waiting;
    const JobSpec& spec = this->jobs.at(id);
    if (running_jobs.count(id) > 0 || !this->HasRoomForTwo(spec)) {
      since = this->clock.Now();
    }
    this->longest_idle_wait = std::max(this->longest_idle_wait, this->clock.Now() - since);
    const bool has_started = this->CountStartedTasks(id) == static_cast<size_t>(spec.task_count);
    waiting = has_started ? this->idle_since.erase(waiting) : std::next(waiting);
  }
}

size_t ScarceTargetsSimulation::CountStartedTasks(const SubmissionId& job) const {
  auto found = this->started_tasks.find(job);
  return found == this->started_tasks.end() ? 0 : found->second.size();
}

base::Duration ScarceTargetsSimulation::LongestIdleWait() const { return this->longest_idle_wait; }

int64_t ScarceTargetsSimulation::MostWaitingTasks() const {
  int64_t most = 0;
  for (const auto& [host, allocator] : this->allocators) {
    const auto capacity = allocator.scheduler.Capacity(this->clock.Now());
    most = std::max(most, capacity.waiting_task_count.value());
  }
  return most;
}

}  // namespace sapphirecrank::testing
