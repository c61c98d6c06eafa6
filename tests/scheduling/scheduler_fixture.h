#pragma once

#include <string>
#include <vector>

#include "base/manual_clock.h"
#include "scheduling/scheduler.h"

namespace sapphirecrank::scheduling {

/// A scheduler on a manual clock whose hooks record the decisions.
struct SchedulerFixture {
  explicit SchedulerFixture(const SchedulerSettings& settings = SchedulerSettings())
      : scheduler(Scheduler::Hooks{
                      this->clock.AsClock(),
                      [this](const StartDecision& decision) { this->starts.push_back(decision); },
                      [this](const TaskRefusal& refusal) { this->refusals.push_back(refusal); }},
                  settings) {}

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

  TaskSpec Task(const std::string& submission, base::PriorityClass work_class,
                const std::string& team = "team") const {
    TaskSpec task;
    task.key = {base::SubmissionId(submission), base::TaskIndex(0)};
    task.team = base::TeamId(team);
    task.kind = base::TaskKind("kind");
    task.priority_class = work_class;
    task.declared_run_time = std::chrono::milliseconds(100);
    task.deadline = this->clock.Now() + std::chrono::minutes(10);
    return task;
  }

  base::Result<void> Enqueue(const std::string& submission, base::PriorityClass work_class,
                             const std::string& team = "team") {
    return this->scheduler.Enqueue(this->Task(submission, work_class, team));
  }

  /// Ends a started task after `response_time`, which passes on the clock.
  void End(const StartDecision& decision, bool succeeded, base::Duration elapsed) {
    this->clock.Advance(elapsed);
    TaskOutcome outcome;
    outcome.succeeded = succeeded;
    outcome.response_time = elapsed;
    this->scheduler.OnTaskEnded(decision.task, decision.target, outcome);
  }

  /// Returns the submission of start `number`, or an empty text.
  std::string Started(size_t number) const {
    return number < this->starts.size() ? this->starts[number].task.submission.value() : "";
  }

  base::ManualClock clock;
  std::vector<StartDecision> starts;
  std::vector<TaskRefusal> refusals;
  Scheduler scheduler;
};

}  // namespace sapphirecrank::scheduling
