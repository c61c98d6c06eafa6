#pragma once

#include <string>
#include <vector>

#include "base/manual_clock.h"
#include "scheduling/scheduler.h"

namespace sapphirecrank::scheduling {

/// A scheduler on a manual clock. Its hooks record start decisions and refusals.
struct SchedulerFixture {
  explicit SchedulerFixture(const SchedulerSettings& settings = SchedulerSettings())
      : scheduler(Scheduler::Hooks{
                      this->clock.AsClock(),
                      [this](const StartDecision& decision) { this->starts.push_back(decision); },
                      [this](const TaskRefusal& refusal) { this->refusals.push_back(refusal); }},
                  settings) {}

  /// Returns a target with `slots` slots, 1000 millicores, 1000 bytes and one accelerator for each
  /// slot, and a lease of one hour.
  TargetState Target(const std::string& id, int slots) const {
    TargetState target;
    target.id = base::TargetId(id);
    target.slots = base::SlotCount(slots);
    target.capacity.processors = base::MilliCores(int64_t{1000} * slots);
    target.capacity.memory = base::ByteCount(int64_t{1000} * slots);
    target.capacity.accelerators = base::AcceleratorCount(slots);
    target.lease_end = this->clock.Now() + std::chrono::hours(1);
    return target;
  }

  void AddTarget(const std::string& id, int slots) {
    this->scheduler.UpdateTarget(this->Target(id, slots));
  }

  /// Returns the only task of a submission, with a declared run time of 100 ms and a deadline in
  /// ten minutes.
  TaskSpec Task(const std::string& submission, base::PriorityClass priority_class,
                const std::string& team = "team") const {
    TaskSpec task;
    task.key = {base::SubmissionId(submission), base::TaskIndex(0)};
    task.team = base::TeamId(team);
    task.kind = base::TaskKind("kind");
    task.priority_class = priority_class;
    task.declared_run_time = std::chrono::milliseconds(100);
    task.deadline = this->clock.Now() + std::chrono::minutes(10);
    return task;
  }

  base::Result<void> Enqueue(const std::string& submission, base::PriorityClass priority_class,
                             const std::string& team = "team") {
    return this->scheduler.Enqueue(this->Task(submission, priority_class, team));
  }

  /// Advances the clock by `response_time` and then ends a started task.
  void EndTask(const StartDecision& decision, bool succeeded, base::Duration response_time) {
    this->clock.Advance(response_time);
    TaskOutcome outcome;
    outcome.succeeded = succeeded;
    outcome.response_time = response_time;
    this->scheduler.OnTaskEnded(decision.task, decision.target, outcome);
  }

  /// Returns the submission of the start decision at `index`, or an empty string if there is none.
  std::string StartedSubmission(size_t index) const {
    return index < this->starts.size() ? this->starts[index].task.submission.value() : "";
  }

  base::ManualClock clock;
  std::vector<StartDecision> starts;
  std::vector<TaskRefusal> refusals;
  Scheduler scheduler;
};

}  // namespace sapphirecrank::scheduling
