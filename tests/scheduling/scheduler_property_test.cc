#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "base/manual_clock.h"
#include "scheduling/scheduler.h"

namespace sapphirecrank::scheduling {
namespace {

using base::TimePoint;
using std::chrono::milliseconds;

/// A random event: its action, and two numbers from which the details are derived.
using Event = std::tuple<uint8_t, uint8_t, uint8_t>;

/// Sends random events to a scheduler, keeps a model of its tasks and targets, and checks each
/// decision against it.
class SchedulerModel {
 public:
  SchedulerModel()
      : scheduler(
            Scheduler::Hooks{this->clock.AsClock(),
                             [this](const StartDecision& decision) { this->OnStart(decision); },
                             [this](const TaskRefusal& refusal) { this->OnRefused(refusal); }}) {}

  void ApplyEvent(const Event& event) {
    const auto [action, a, b] = event;
    switch (action % 10) {
      case 0:
      case 1:
      case 2:
        this->EnqueueSubmission(a, b);
        break;
      case 3:
      case 4:
        this->EndTask(a, b);
        break;
      case 5:
        this->UpdateTarget(a, b);
        break;
      case 6:
        this->RemoveTarget(a);
        break;
      case 7:
        this->CancelTasks(a, b);
        break;
      case 8:
        // A quarter of the clock changes set it back.
        this->clock.Advance(milliseconds(b % 4 == 0 ? -a : 4 * a));
        break;
      default:
        this->scheduler.Tick();
    }
  }

  /// Lets all deadlines pass, checks that no task is still queued, and ends the running tasks.
  void CheckAllTasksEnd() {
    this->clock.Advance(std::chrono::hours(1));
    this->scheduler.Tick();
    RC_ASSERT(this->queued_tasks.empty());
    RC_ASSERT(this->scheduler.Status().queued_tasks == 0);
    while (!this->running_tasks.empty()) {
      this->EndTask(0, 1);
    }
  }

 private:
  struct RunningTask {
    std::string target;
    base::Resources declared_resources;
  };

  struct Target {
    TargetState state;
    bool is_known = false;
  };

  void EnqueueSubmission(uint8_t a, uint8_t b) {
    std::vector<TaskSpec> submission_tasks;
    const std::string submission = "job-" + std::to_string(this->next_submission++);
    for (uint32_t i = 0; i < 1U + a % 6; ++i) {
      TaskSpec task;
      task.key = {base::SubmissionId(submission), base::TaskIndex(i)};
      task.team = base::TeamId("team-" + std::to_string(b % 3));
      task.kind = base::TaskKind("kind-" + std::to_string(b % 5));
      task.priority_class = static_cast<base::PriorityClass>(a % 3);
      task.target_kind = static_cast<base::TargetKind>(b % 2);
      task.declared_resources.processors = base::MilliCores(1 + (a * (i + 1)) % 5);
      task.declared_resources.memory = base::ByteCount(b % 5);
      task.declared_resources.accelerators = base::AcceleratorCount(b % 7 == 0 ? 1 : 0);
      task.declared_run_time = milliseconds(b * 20);
      task.deadline = this->clock.Now() + milliseconds(10 * (a + 1));
      submission_tasks.push_back(task);
      this->specs[task.key] = task;
      this->queued_tasks.insert(task.key);
    }
    const auto result = this->scheduler.EnqueueAll(submission_tasks);
    if (result.has_value()) {
      return;
    }
    RC_ASSERT(result.error().verdict == base::ExecutionVerdict::kNotRun);
    for (const TaskSpec& task : submission_tasks) {
      // No task of a refused submission may have started.
      RC_ASSERT(this->queued_tasks.erase(task.key) == 1U);
    }
  }

  void EndTask(uint8_t a, uint8_t b) {
    if (this->running_tasks.empty()) {
      return;
    }
    auto chosen_task = std::next(this->running_tasks.begin(),
                                 a % static_cast<int64_t>(this->running_tasks.size()));
    const auto [key, task] = *chosen_task;
    this->running_tasks.erase(chosen_task);
    TaskOutcome outcome;
    outcome.succeeded = b % 3 != 0;
    outcome.response_time = milliseconds(b);
    this->scheduler.OnTaskEnded(key, base::TargetId(task.target), outcome);
    this->scheduler.OnTaskEnded(key, base::TargetId(task.target), outcome);
  }

  void UpdateTarget(uint8_t a, uint8_t b) {
    const std::string id = "target-" + std::to_string(a % 6);
    Target& target = this->targets[id];
    target.is_known = true;
    target.state.id = base::TargetId(id);
    target.state.kind = static_cast<base::TargetKind>(a % 2);
    target.state.slots = base::SlotCount(b % 5);
    target.state.capacity.processors = base::MilliCores(b % 9);
    target.state.capacity.memory = base::ByteCount(b % 7);
    target.state.capacity.accelerators = base::AcceleratorCount(b % 2);
    target.state.externally_used_slots = base::SlotCount(b % 11 == 0 ? 1 : 0);
    target.state.leaving = b % 13 == 0;
    target.state.usable_from = this->clock.Now() + milliseconds(b % 4 == 0 ? b : 0);
    target.state.lease_end = this->clock.Now() + milliseconds(10 * b);
    this->scheduler.UpdateTarget(target.state);
  }

  void RemoveTarget(uint8_t a) {
    const std::string id = "target-" + std::to_string(a % 6);
    this->targets[id].is_known = false;
    this->scheduler.RemoveTarget(base::TargetId(id));
  }

  void CancelTasks(uint8_t a, uint8_t b) {
    std::vector<base::TaskKey> cancelled;
    if (b % 4 == 0) {
      cancelled = this->scheduler.CancelTeam(base::TeamId("team-" + std::to_string(a % 3)));
    } else if (this->next_submission > 0) {
      cancelled = this->scheduler.CancelSubmission(
          base::SubmissionId("job-" + std::to_string(a % this->next_submission)));
    }
    for (const base::TaskKey& key : cancelled) {
      RC_ASSERT(this->queued_tasks.erase(key) == 1U);
    }
  }

  void OnStart(const StartDecision& decision) {
    // A task starts at most once, and only if it was not refused or cancelled before.
    RC_ASSERT(this->queued_tasks.erase(decision.task) == 1U);
    const TaskSpec& spec = this->specs.at(decision.task);
    const Target& target = this->targets[decision.target.value()];
    const TimePoint now = this->clock.Now();
    RC_ASSERT(target.is_known);
    RC_ASSERT(target.state.kind == spec.target_kind);
    RC_ASSERT(!target.state.leaving);
    RC_ASSERT(now >= target.state.usable_from);
    RC_ASSERT(now < target.state.lease_end);
    RC_ASSERT(now < spec.deadline);
    base::Resources used_resources = spec.declared_resources;
    base::SlotCount used_slots = target.state.externally_used_slots + base::SlotCount(1);
    for (const auto& [key, task] : this->running_tasks) {
      if (task.target == decision.target.value()) {
        used_resources += task.declared_resources;
        used_slots += base::SlotCount(1);
      }
    }
    RC_ASSERT(used_slots <= target.state.slots);
    RC_ASSERT(target.state.capacity.CanFit(used_resources));
    this->running_tasks[decision.task] = {decision.target.value(), spec.declared_resources};
  }

  void OnRefused(const TaskRefusal& refusal) {
    RC_ASSERT(this->queued_tasks.erase(refusal.task) == 1U);
    RC_ASSERT(refusal.error.verdict == base::ExecutionVerdict::kNotRun);
  }

  base::ManualClock clock;
  size_t next_submission = 0;
  std::map<base::TaskKey, TaskSpec> specs;
  std::set<base::TaskKey> queued_tasks;
  std::map<base::TaskKey, RunningTask> running_tasks;
  std::map<std::string, Target> targets;
  Scheduler scheduler;
};

}  // namespace

TEST_GROUP(SchedulerProperty){};

// Guards against tasks that start twice, overcommitted slots, processors, memory or accelerators,
// starts on unusable targets, and tasks that end twice or never, in any sequence of events.
TEST(SchedulerProperty, DecisionsAgreeWithModel) {
  const bool property_holds = rc::check([](const std::vector<Event>& events) {
    SchedulerModel model;
    for (const Event& event : events) {
      model.ApplyEvent(event);
    }
    model.CheckAllTasksEnd();
  });
  CHECK_TRUE(property_holds);
}

// Guards against urgent tasks that wait behind a bulk backlog. With 10 slots and tasks of equal run
// time, an urgent task has to start at the latest when the next slot is released.
TEST(SchedulerProperty, UrgentTaskStartsOnNextReleasedSlot) {
  const bool property_holds = rc::check([](uint8_t bulk_count, uint8_t ended_before_urgent) {
    base::ManualClock clock;
    std::vector<StartDecision> starts;
    Scheduler scheduler(Scheduler::Hooks{
        clock.AsClock(), [&](const StartDecision& decision) { starts.push_back(decision); },
        [](const TaskRefusal&) {}});
    TargetState target;
    target.id = base::TargetId("a");
    target.slots = base::SlotCount(10);
    target.lease_end = clock.Now() + std::chrono::hours(1);
    scheduler.UpdateTarget(target);
    const auto enqueue = [&](const std::string& submission, base::PriorityClass priority_class) {
      TaskSpec task;
      task.key = {base::SubmissionId(submission), base::TaskIndex(0)};
      task.priority_class = priority_class;
      task.deadline = clock.Now() + std::chrono::minutes(30);
      return scheduler.Enqueue(task).has_value();
    };
    for (int i = 0; i < bulk_count; ++i) {
      enqueue("bulk-" + std::to_string(i), base::PriorityClass::kBulk);
    }
    size_t ended_count = 0;
    const auto end_next = [&] {
      if (ended_count < starts.size()) {
        const StartDecision decision = starts[ended_count++];
        clock.Advance(milliseconds(100));
        scheduler.OnTaskEnded(decision.task, decision.target,
                              {base::ExecutionVerdict::kRan, true, milliseconds(100)});
      }
    };
    for (int i = 0; i < ended_before_urgent; ++i) {
      end_next();
    }
    RC_ASSERT(enqueue("urgent", base::PriorityClass::kUrgent));
    const size_t starts_before = starts.size();
    end_next();
    const auto is_urgent = [](const StartDecision& decision) {
      return decision.task.submission.value() == "urgent";
    };
    RC_ASSERT(std::any_of(starts.begin(), starts.end(), is_urgent));
    RC_ASSERT((starts.size() <= starts_before + 1 || bulk_count < 10));
  });
  CHECK_TRUE(property_holds);
}

// Guards against a team that starves. Of five starts per team, each team with a backlog has to get
// at least three, even if one team has a far longer backlog.
TEST(SchedulerProperty, NoTeamStarves) {
  const bool property_holds = rc::check([](uint8_t random_team_count, uint8_t extra_tasks) {
    const size_t team_count = 2 + random_team_count % 20;
    base::ManualClock clock;
    std::vector<StartDecision> starts;
    SchedulerSettings settings;
    settings.is_admission_control_enabled = false;
    Scheduler scheduler(
        Scheduler::Hooks{clock.AsClock(),
                         [&](const StartDecision& decision) { starts.push_back(decision); },
                         [](const TaskRefusal&) {}},
        settings);
    std::map<base::TaskKey, size_t> team_of;
    for (size_t team = 0; team < team_count; ++team) {
      const size_t tasks = team == 0 ? 50 + extra_tasks : 10;
      for (size_t i = 0; i < tasks; ++i) {
        TaskSpec task;
        task.team = base::TeamId("team-" + std::to_string(team));
        task.key = {base::SubmissionId(std::to_string(team) + "-" + std::to_string(i)),
                    base::TaskIndex(0)};
        task.deadline = clock.Now() + std::chrono::minutes(30);
        scheduler.Enqueue(task);
        team_of[task.key] = team;
      }
    }
    TargetState target;
    target.id = base::TargetId("a");
    target.slots = base::SlotCount(1);
    target.lease_end = clock.Now() + std::chrono::hours(1);
    scheduler.UpdateTarget(target);
    std::vector<size_t> counts(team_count);
    for (size_t i = 0; i < 5 * team_count; ++i) {
      const StartDecision decision = starts[i];
      ++counts[team_of[decision.task]];
      clock.Advance(milliseconds(100));
      scheduler.OnTaskEnded(decision.task, decision.target,
                            {base::ExecutionVerdict::kRan, true, milliseconds(100)});
    }
    for (size_t count : counts) {
      RC_ASSERT(count >= 3U);
    }
  });
  CHECK_TRUE(property_holds);
}

}  // namespace sapphirecrank::scheduling
