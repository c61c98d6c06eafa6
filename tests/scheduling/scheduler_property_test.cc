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

/// One random event: what happens, and two numbers that choose its details.
using Event = std::tuple<uint8_t, uint8_t, uint8_t>;

/// A model of what the scheduler was told, which judges each decision.
class Model {
 public:
  Model()
      : scheduler(Scheduler::Hooks{this->clock.AsClock(),
                                   [this](const StartDecision& d) { this->OnStart(d); },
                                   [this](const TaskRefusal& r) { this->OnRefused(r); }}) {}

  void Apply(const Event& event) {
    const auto [what, a, b] = event;
    switch (what % 10) {
      case 0:
      case 1:
      case 2:
        this->EnqueueJob(a, b);
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
        this->Cancel(a, b);
        break;
      case 8:
        // A quarter of the clock's steps goes back.
        this->clock.Advance(milliseconds(b % 4 == 0 ? -a : 4 * a));
        break;
      default:
        this->scheduler.Tick();
    }
  }

  void Finish() {
    this->clock.Advance(std::chrono::hours(1));
    this->scheduler.Tick();
    RC_ASSERT(this->queued.empty());
    RC_ASSERT(this->scheduler.Status().queued_tasks == 0);
    while (!this->running.empty()) {
      this->EndTask(0, 1);
    }
  }

 private:
  struct Running {
    std::string target;
    base::Resources declared;
  };

  struct Target {
    TargetState state;
    bool known = false;
  };

  void EnqueueJob(uint8_t a, uint8_t b) {
    std::vector<TaskSpec> job;
    const std::string submission = "job-" + std::to_string(this->next_job++);
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
      job.push_back(task);
      this->specs[task.key] = task;
      this->queued.insert(task.key);
    }
    const auto result = this->scheduler.EnqueueAll(job);
    if (result.has_value()) {
      return;
    }
    RC_ASSERT(result.error().verdict == base::ExecutionVerdict::kNotRun);
    for (const TaskSpec& task : job) {
      // A refused job has no task that started.
      RC_ASSERT(this->queued.erase(task.key) == 1U);
    }
  }

  void EndTask(uint8_t a, uint8_t b) {
    if (this->running.empty()) {
      return;
    }
    auto chosen = std::next(this->running.begin(), a % static_cast<int64_t>(this->running.size()));
    const auto [key, task] = *chosen;
    this->running.erase(chosen);
    TaskOutcome outcome;
    outcome.succeeded = b % 3 != 0;
    outcome.response_time = milliseconds(b);
    this->scheduler.OnTaskEnded(key, base::TargetId(task.target), outcome);
    this->scheduler.OnTaskEnded(key, base::TargetId(task.target), outcome);
  }

  void UpdateTarget(uint8_t a, uint8_t b) {
    const std::string id = "target-" + std::to_string(a % 6);
    Target& target = this->targets[id];
    target.known = true;
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
    this->targets[id].known = false;
    this->scheduler.RemoveTarget(base::TargetId(id));
  }

  void Cancel(uint8_t a, uint8_t b) {
    std::vector<base::TaskKey> cancelled;
    if (b % 4 == 0) {
      cancelled = this->scheduler.CancelTeam(base::TeamId("team-" + std::to_string(a % 3)));
    } else if (this->next_job > 0) {
      cancelled = this->scheduler.CancelSubmission(
          base::SubmissionId("job-" + std::to_string(a % this->next_job)));
    }
    for (const base::TaskKey& key : cancelled) {
      RC_ASSERT(this->queued.erase(key) == 1U);
    }
  }

  void OnStart(const StartDecision& decision) {
    // A task starts only once, and only if it wasn't refused or cancelled before.
    RC_ASSERT(this->queued.erase(decision.task) == 1U);
    const TaskSpec& spec = this->specs.at(decision.task);
    const Target& target = this->targets[decision.target.value()];
    const TimePoint now = this->clock.Now();
    RC_ASSERT(target.known);
    RC_ASSERT(target.state.kind == spec.target_kind);
    RC_ASSERT(!target.state.leaving);
    RC_ASSERT(now >= target.state.usable_from);
    RC_ASSERT(now < target.state.lease_end);
    RC_ASSERT(now < spec.deadline);
    base::Resources used = spec.declared_resources;
    base::SlotCount slots = target.state.externally_used_slots + base::SlotCount(1);
    for (const auto& [key, task] : this->running) {
      if (task.target == decision.target.value()) {
        used += task.declared;
        slots += base::SlotCount(1);
      }
    }
    RC_ASSERT(slots <= target.state.slots);
    RC_ASSERT(target.state.capacity.CanFit(used));
    this->running[decision.task] = {decision.target.value(), spec.declared_resources};
  }

  void OnRefused(const TaskRefusal& refusal) {
    RC_ASSERT(this->queued.erase(refusal.task) == 1U);
    RC_ASSERT(refusal.error.verdict == base::ExecutionVerdict::kNotRun);
  }

  base::ManualClock clock;
  size_t next_job = 0;
  std::map<base::TaskKey, TaskSpec> specs;
  std::set<base::TaskKey> queued;
  std::map<base::TaskKey, Running> running;
  std::map<std::string, Target> targets;
  Scheduler scheduler;
};

}  // namespace

TEST_GROUP(SchedulerProperty){};

// Guards against second starts, overcommitted slots, processors, memory or accelerators, starts on
// unusable targets, and tasks that end twice or never, in any sequence of events.
TEST(SchedulerProperty, DecisionsAgreeWithTheModel) {
  const bool holds = rc::check([](const std::vector<Event>& events) {
    Model model;
    for (const Event& event : events) {
      model.Apply(event);
    }
    model.Finish();
  });
  CHECK_TRUE(holds);
}

// Guards against urgent work that waits behind a bulk backlog: with 10 slots and tasks of equal
// length, an urgent task starts with the first slot that is released.
TEST(SchedulerProperty, UrgentWorkWaitsForOneSlotAtMost) {
  const bool holds = rc::check([](uint8_t bulk, uint8_t urgent_after) {
    base::ManualClock clock;
    std::vector<StartDecision> starts;
    Scheduler scheduler(Scheduler::Hooks{clock.AsClock(),
                                         [&](const StartDecision& d) { starts.push_back(d); },
                                         [](const TaskRefusal&) {}});
    TargetState target;
    target.id = base::TargetId("a");
    target.slots = base::SlotCount(10);
    target.lease_end = clock.Now() + std::chrono::hours(1);
    scheduler.UpdateTarget(target);
    const auto enqueue = [&](const std::string& submission, base::PriorityClass work_class) {
      TaskSpec task;
      task.key = {base::SubmissionId(submission), base::TaskIndex(0)};
      task.priority_class = work_class;
      task.deadline = clock.Now() + std::chrono::minutes(30);
      return scheduler.Enqueue(task).has_value();
    };
    for (int i = 0; i < bulk; ++i) {
      enqueue("bulk-" + std::to_string(i), base::PriorityClass::kBulk);
    }
    size_t ended = 0;
    const auto end_next = [&] {
      if (ended < starts.size()) {
        const StartDecision decision = starts[ended++];
        clock.Advance(milliseconds(100));
        scheduler.OnTaskEnded(decision.task, decision.target,
                              {base::ExecutionVerdict::kRan, true, milliseconds(100)});
      }
    };
    for (int i = 0; i < urgent_after; ++i) {
      end_next();
    }
    RC_ASSERT(enqueue("urgent", base::PriorityClass::kUrgent));
    const size_t before = starts.size();
    end_next();
    const auto is_urgent = [](const StartDecision& d) {
      return d.task.submission.value() == "urgent";
    };
    RC_ASSERT(std::any_of(starts.begin(), starts.end(), is_urgent));
    RC_ASSERT((starts.size() <= before + 1 || bulk < 10));
  });
  CHECK_TRUE(holds);
}

// Guards against a team that starves: each of many teams with a backlog gets a slot before any
// team gets far more than its share.
TEST(SchedulerProperty, NoTeamStarves) {
  const bool holds = rc::check([](uint8_t team_count, uint8_t greedy) {
    const size_t teams = 2 + team_count % 20;
    base::ManualClock clock;
    std::vector<StartDecision> starts;
    SchedulerSettings settings;
    settings.is_admission_control_enabled = false;
    Scheduler scheduler(
        Scheduler::Hooks{clock.AsClock(), [&](const StartDecision& d) { starts.push_back(d); },
                         [](const TaskRefusal&) {}},
        settings);
    std::map<base::TaskKey, size_t> team_of;
    for (size_t team = 0; team < teams; ++team) {
      const size_t tasks = team == 0 ? 50 + greedy : 10;
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
    std::vector<size_t> counts(teams);
    for (size_t i = 0; i < 5 * teams; ++i) {
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
  CHECK_TRUE(holds);
}

}  // namespace sapphirecrank::scheduling
