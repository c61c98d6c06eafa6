#include "bench/decisions/simulation.h"

#include <algorithm>
#include <string>

namespace sapphirecrank::bench {

using base::Duration;
using base::TimePoint;
using scheduling::TaskSpec;

namespace {
constexpr Duration kAnnouncementInterval = std::chrono::milliseconds(500);
constexpr Duration kTargetLeaseDuration = std::chrono::seconds(2);
constexpr Duration kTickInterval = std::chrono::milliseconds(5);
/// Time after which a failing target reports a failure.
constexpr Duration kFailureResponseTime = std::chrono::milliseconds(2);
constexpr int kSlowRunTimeFactor = 4;
/// How long queued tasks may wait after the end of the scenario before they count as lost.
constexpr Duration kMaximumQueueTime = std::chrono::seconds(60);
constexpr Duration kMaximumShortRunTime = std::chrono::milliseconds(1500);
/// Shares of the slots that each class may hold: the default of
/// `scheduling::SchedulerSettings::class_share_limit`.
constexpr std::array<double, base::kPriorityClassCount> kClassShares = {1.0, 1.0, 0.7};

size_t ClassIndex(base::PriorityClass priority_class) {
  return static_cast<size_t>(priority_class);
}
}  // namespace

Simulation::Simulation(const Scenario& scenario, const Workload& workload, TimePoint start,
                       const RuleSet& rule_set)
    : scenario(scenario), workload(workload), start_time(start) {
  this->clock.Advance(start - this->clock.Now());
  scheduling::Scheduler::Hooks hooks;
  hooks.now = this->clock.AsClock();
  hooks.start_task = [this](const scheduling::StartDecision& decision) { this->OnStart(decision); };
  hooks.on_task_refused = [this](const scheduling::TaskRefusal& refusal) {
    this->OnRefused(this->FindTaskIndex(refusal.task), MeasuredTask::Outcome::kExpired);
  };
  this->scheduler = rule_set.create(std::move(hooks));
  this->measured_tasks.resize(workload.tasks.size());
  this->abandoned_jobs.resize(workload.jobs.size());
  for (size_t job_index = 0; job_index < workload.jobs.size(); ++job_index) {
    this->job_indices[workload.tasks[workload.jobs[job_index].first_task].spec.key.submission] =
        job_index;
  }
  this->AddTargets();
}

void Simulation::AddTargets() {
  for (int i = 0; i < this->scenario.target_count; ++i) {
    Target target;
    target.state.id = base::TargetId("target-" + std::to_string(i));
    target.state.kind = this->scenario.target_kind;
    target.state.rack = base::RackId("rack-" + std::to_string(i / 8));
    target.state.slots = this->scenario.slots_per_target;
    target.state.capacity = this->scenario.target_capacity;
    target.is_failing = i < this->scenario.failing_target_count;
    target.run_time_factor = i >= this->scenario.target_count - this->scenario.slow_target_count
                                 ? kSlowRunTimeFactor
                                 : 1;
    this->target_indices[target.state.id] = this->targets.size();
    this->targets.push_back(target);
  }
}

void Simulation::AnnounceTargets() {
  for (Target& target : this->targets) {
    target.state.lease_end = this->clock.Now() + kTargetLeaseDuration;
    this->scheduler.update_target(target.state);
  }
}

void Simulation::Run() {
  TimePoint next_announcement = this->start_time;
  TimePoint next_tick = this->start_time;
  size_t next_job = 0;
  const TimePoint latest_end = this->start_time + this->scenario.duration + kMaximumQueueTime;
  while (next_job < this->workload.jobs.size() || !this->completions.empty() ||
         (this->clock.Now() < latest_end && this->HasPendingTasks())) {
    TimePoint next = std::min(next_announcement, next_tick);
    if (next_job < this->workload.jobs.size()) {
      next = std::min(next, this->workload.jobs[next_job].arrival_time);
    }
    if (!this->completions.empty()) {
      next = std::min(next, this->completions.top().time);
    }
    this->AdvanceClockTo(next);
    if (next == next_announcement) {
      this->AnnounceTargets();
      next_announcement += kAnnouncementInterval;
    } else if (next == next_tick) {
      this->scheduler.tick();
      next_tick += kTickInterval;
    } else if (!this->completions.empty() && this->completions.top().time == next) {
      const Completion completion = this->completions.top();
      this->completions.pop();
      this->CompleteTask(completion);
    } else {
      this->SubmitJob(this->workload.jobs[next_job]);
      ++next_job;
    }
  }
}

bool Simulation::HasPendingTasks() const {
  return std::any_of(
      this->measured_tasks.begin(), this->measured_tasks.end(),
      [](const MeasuredTask& task) { return task.outcome == MeasuredTask::Outcome::kUnfinished; });
}

void Simulation::AdvanceClockTo(TimePoint time) { this->clock.Advance(time - this->clock.Now()); }

void Simulation::SubmitJob(const Workload::Job& job) {
  std::vector<TaskSpec> specs;
  for (size_t i = job.first_task; i < job.first_task + job.task_count; ++i) {
    this->measured_tasks[i].arrival_time = job.arrival_time;
    specs.push_back(this->workload.tasks[i].spec);
  }
  const base::Result<void> result = this->scheduler.enqueue_all(specs);
  for (size_t i = job.first_task; i < job.first_task + job.task_count; ++i) {
    const WorkloadTask& task = this->workload.tasks[i];
    MeasuredTask& measured_task = this->measured_tasks[i];
    if (!result) {
      measured_task.is_unsatisfiable = result.error().code == base::ErrorCode::kUnsatisfiable;
      this->OnRefused(i, MeasuredTask::Outcome::kRefused);
      continue;
    }
    measured_task.waited_behind_excess_share =
        measured_task.start_count == 0 && task.ideal_run_time <= kMaximumShortRunTime &&
        this->LowerClassExceedsShare(task.spec.priority_class);
  }
}

void Simulation::OnStart(const scheduling::StartDecision& decision) {
  const size_t task_index = this->FindTaskIndex(decision.task);
  const WorkloadTask& task = this->workload.tasks[task_index];
  const size_t target_index = this->target_indices[decision.target];
  Target& target = this->targets[target_index];
  MeasuredTask& measured_task = this->measured_tasks[task_index];
  ++measured_task.start_count;
  measured_task.has_contradictory_refusal |=
      measured_task.outcome != MeasuredTask::Outcome::kUnfinished;
  measured_task.start_time = this->clock.Now();
  measured_task.target_index = static_cast<uint32_t>(target_index);
  ++target.used_slots;
  target.used_resources += task.spec.declared_resources;
  if (target.used_slots > target.state.slots.value() ||
      !target.state.capacity.CanFit(target.used_resources)) {
    ++this->overcommitted_starts;
  }
  ClassUsage& usage = this->class_usage[ClassIndex(task.spec.priority_class)];
  ++usage.slots;
  usage.long_tasks += task.ideal_run_time > kMaximumShortRunTime ? 1 : 0;
  const bool fails =
      target.is_failing && this->clock.Now() >= this->start_time + this->scenario.warm_up;
  if (this->failure_count >= kDetectionFailureCount) {
    ++this->total_starts;
    this->failing_target_starts += fails ? 1 : 0;
  }
  const Duration run_time = fails ? kFailureResponseTime : task.run_time * target.run_time_factor;
  this->completions.push({this->clock.Now() + kRoundTrip + run_time, task_index, !fails});
}

void Simulation::OnRefused(size_t task_index, MeasuredTask::Outcome outcome) {
  MeasuredTask& measured_task = this->measured_tasks[task_index];
  measured_task.has_contradictory_refusal |= measured_task.start_count > 0;
  measured_task.outcome = outcome;
  measured_task.end_time = this->clock.Now();
  this->AbandonJob(this->workload.tasks[task_index].job_index);
}

void Simulation::CompleteTask(const Completion& completion) {
  const WorkloadTask& task = this->workload.tasks[completion.task_index];
  MeasuredTask& measured_task = this->measured_tasks[completion.task_index];
  Target& target = this->targets[measured_task.target_index];
  measured_task.end_time = completion.time;
  --target.used_slots;
  target.used_resources -= task.spec.declared_resources;
  ClassUsage& usage = this->class_usage[ClassIndex(task.spec.priority_class)];
  --usage.slots;
  usage.long_tasks -= task.ideal_run_time > kMaximumShortRunTime ? 1 : 0;
  if (!completion.succeeded) {
    measured_task.outcome = MeasuredTask::Outcome::kFailed;
    ++this->failure_count;
    this->AbandonJob(task.job_index);
  } else {
    const bool met_deadline = completion.time <= task.spec.deadline;
    measured_task.outcome =
        met_deadline ? MeasuredTask::Outcome::kMetDeadline : MeasuredTask::Outcome::kMissedDeadline;
  }
  scheduling::TaskOutcome outcome;
  outcome.succeeded = completion.succeeded;
  outcome.response_time = completion.time - measured_task.start_time;
  this->scheduler.on_task_ended(task.spec.key, target.state.id, outcome);
}

void Simulation::AbandonJob(size_t job_index) {
  if (this->abandoned_jobs[job_index]) {
    return;
  }
  this->abandoned_jobs[job_index] = true;
  const Workload::Job& job = this->workload.jobs[job_index];
  this->scheduler.cancel_submission(this->workload.tasks[job.first_task].spec.key.submission);
  for (size_t i = job.first_task; i < job.first_task + job.task_count; ++i) {
    if (this->measured_tasks[i].start_count == 0 &&
        this->measured_tasks[i].outcome == MeasuredTask::Outcome::kUnfinished) {
      this->measured_tasks[i].outcome = MeasuredTask::Outcome::kCancelled;
    }
  }
}

bool Simulation::LowerClassExceedsShare(base::PriorityClass priority_class) const {
  const double slots =
      static_cast<double>(this->scenario.target_count) * this->scenario.slots_per_target.value();
  for (size_t lower = ClassIndex(priority_class) + 1; lower < this->class_usage.size(); ++lower) {
    if (this->class_usage[lower].long_tasks > 0 &&
        this->class_usage[lower].slots > kClassShares[lower] * slots + 1) {
      return true;
    }
  }
  return false;
}

size_t Simulation::FindTaskIndex(const base::TaskKey& key) const {
  const size_t job_index = this->job_indices.at(key.submission);
  return this->workload.jobs[job_index].first_task + key.index.value();
}

}  // namespace sapphirecrank::bench
