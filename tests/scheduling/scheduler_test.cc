#include "scheduling/scheduler.h"

#include <CppUTest/TestHarness.h>

#include <atomic>
#include <functional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "tests/scheduling/scheduler_fixture.h"

using sapphirecrank::base::ErrorCode;
using sapphirecrank::base::PriorityClass;
using sapphirecrank::base::TargetId;
using sapphirecrank::base::Weight;
using sapphirecrank::limits::AutomaticActions;
using sapphirecrank::scheduling::Scheduler;
using sapphirecrank::scheduling::SchedulerFixture;
using sapphirecrank::scheduling::SchedulerSettings;
using sapphirecrank::scheduling::StartDecision;
using sapphirecrank::scheduling::TargetState;
using sapphirecrank::scheduling::TaskSpec;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {
constexpr milliseconds kRunTime{100};

SchedulerSettings SettingsWithoutAdmissionControl() {
  SchedulerSettings settings;
  settings.is_admission_control_enabled = false;
  return settings;
}

/// Ends the oldest running task `count` times; the scheduler starts queued tasks in between.
/// `ended_count` is the number of tasks that were ended so far.
void EndOldestTasks(SchedulerFixture& fixture, size_t& ended_count, int count) {
  for (int i = 0; i < count && ended_count < fixture.starts.size(); ++i) {
    const StartDecision decision = fixture.starts[ended_count];
    ++ended_count;
    fixture.EndTask(decision, true, kRunTime);
  }
}
}  // namespace

TEST_GROUP(Scheduler){};

// Guards against urgent tasks that wait behind ordinary or bulk tasks that were queued earlier.
TEST(Scheduler, StartsUrgentBeforeOrdinaryBeforeBulk) {
  SchedulerFixture fixture;
  fixture.AddTarget("a", 1);
  fixture.Enqueue("running", PriorityClass::kOrdinary);
  fixture.Enqueue("bulk", PriorityClass::kBulk);
  fixture.Enqueue("ordinary", PriorityClass::kOrdinary);
  fixture.Enqueue("urgent", PriorityClass::kUrgent);
  size_t ended_count = 0;
  EndOldestTasks(fixture, ended_count, 3);
  STRCMP_EQUAL("urgent", fixture.StartedSubmission(1).c_str());
  STRCMP_EQUAL("ordinary", fixture.StartedSubmission(2).c_str());
  STRCMP_EQUAL("bulk", fixture.StartedSubmission(3).c_str());
}

// Guards against lower classes that never start a task while urgent tasks are always queued.
TEST(Scheduler, StarvingClassesGetGuaranteedShare) {
  SchedulerFixture fixture(SettingsWithoutAdmissionControl());
  fixture.AddTarget("a", 2);
  for (int i = 0; i < 400; ++i) {
    fixture.Enqueue("urgent-" + std::to_string(i), PriorityClass::kUrgent);
  }
  fixture.Enqueue("ordinary", PriorityClass::kOrdinary);
  fixture.Enqueue("bulk", PriorityClass::kBulk);
  size_t ended_count = 0;
  EndOldestTasks(fixture, ended_count, 20);
  std::set<std::string> started;
  for (size_t i = 0; i < fixture.starts.size(); ++i) {
    started.insert(fixture.StartedSubmission(i));
  }
  CHECK_EQUAL(1U, started.count("ordinary"));
  CHECK_EQUAL(1U, started.count("bulk"));
}

// Guards against a team whose backlog delays all other teams, and against weights that are ignored.
TEST(Scheduler, SharesSlotsAmongTeamsByWeight) {
  SchedulerFixture fixture(SettingsWithoutAdmissionControl());
  fixture.AddTarget("a", 2);
  for (int i = 0; i < 400; ++i) {
    fixture.Enqueue("light-" + std::to_string(i), PriorityClass::kOrdinary, "light");
  }
  for (int i = 0; i < 400; ++i) {
    fixture.Enqueue("heavy-" + std::to_string(i), PriorityClass::kOrdinary, "heavy");
  }
  // A new weight also applies to tasks that are already queued.
  fixture.scheduler.SetTeamWeight(sapphirecrank::base::TeamId("heavy"), Weight(3));
  size_t ended_count = 0;
  EndOldestTasks(fixture, ended_count, 200);
  int heavy_starts = 0;
  for (size_t i = 2; i < fixture.starts.size(); ++i) {
    heavy_starts += fixture.StartedSubmission(i).rfind("heavy", 0) == 0 ? 1 : 0;
  }
  CHECK(heavy_starts >= 140);
  CHECK(heavy_starts <= 160);
}

// Guards against short tasks that wait behind long tasks of the same team and class.
TEST(Scheduler, ShortTasksOvertakeLongOnes) {
  SchedulerFixture fixture;
  fixture.AddTarget("a", 1);
  fixture.Enqueue("running", PriorityClass::kOrdinary);
  TaskSpec long_task = fixture.Task("long", PriorityClass::kOrdinary);
  long_task.kind = sapphirecrank::base::TaskKind("refresh");
  long_task.declared_run_time = seconds(30);
  fixture.scheduler.Enqueue(long_task);
  fixture.Enqueue("short", PriorityClass::kOrdinary);
  size_t ended_count = 0;
  EndOldestTasks(fixture, ended_count, 1);
  STRCMP_EQUAL("short", fixture.StartedSubmission(1).c_str());
}

// Guards against long work that occupies all slots, so that a later burst of short work has to
// wait.
TEST(Scheduler, LongWorkLeavesSlotsFree) {
  SchedulerFixture fixture;
  fixture.AddTarget("a", 10);
  for (int i = 0; i < 10; ++i) {
    TaskSpec task = fixture.Task("long-" + std::to_string(i), PriorityClass::kBulk);
    task.declared_run_time = seconds(60);
    fixture.scheduler.Enqueue(task);
  }
  CHECK_EQUAL(4U, fixture.starts.size());
}

// Guards against tasks that start on targets that are leaving, not yet usable, past their lease or
// removed.
TEST(Scheduler, StartsNoTaskOnUnusableTargets) {
  SchedulerFixture fixture;
  TargetState leaving = fixture.Target("leaving", 4);
  leaving.leaving = true;
  TargetState later = fixture.Target("later", 1);
  later.usable_from = fixture.clock.Now() + seconds(2);
  later.lease_end = fixture.clock.Now() + seconds(4);
  fixture.scheduler.UpdateTarget(leaving);
  fixture.scheduler.UpdateTarget(later);
  fixture.AddTarget("removed", 4);
  fixture.scheduler.RemoveTarget(TargetId("removed"));
  fixture.Enqueue("first", PriorityClass::kUrgent);
  fixture.Enqueue("second", PriorityClass::kUrgent);
  CHECK_EQUAL(0U, fixture.starts.size());
  fixture.clock.Advance(seconds(3));
  fixture.scheduler.Tick();
  CHECK_EQUAL(1U, fixture.starts.size());
  fixture.EndTask(fixture.starts[0], true, seconds(2));
  CHECK_EQUAL(1U, fixture.starts.size());
}

// Guards against a slot that is allocated twice, when a target is removed and announced again while
// its task is still running.
TEST(Scheduler, RemovedTargetKeepsItsRunningTasks) {
  SchedulerFixture fixture;
  fixture.AddTarget("a", 1);
  fixture.Enqueue("first", PriorityClass::kUrgent);
  fixture.Enqueue("second", PriorityClass::kUrgent);
  fixture.scheduler.RemoveTarget(TargetId("a"));
  fixture.AddTarget("a", 1);
  CHECK_EQUAL(1U, fixture.starts.size());
  fixture.EndTask(fixture.starts[0], true, kRunTime);
  CHECK_EQUAL(2U, fixture.starts.size());
}

// Guards against a task that starts twice because a caller sends it again while it is queued or
// running.
TEST(Scheduler, RefusesKnownTaskAsConflict) {
  SchedulerFixture fixture;
  fixture.AddTarget("a", 1);
  fixture.Enqueue("running", PriorityClass::kUrgent);
  fixture.Enqueue("queued", PriorityClass::kUrgent);
  for (const char* submission : {"running", "queued"}) {
    const auto result = fixture.Enqueue(submission, PriorityClass::kUrgent);
    CHECK_FALSE(result.has_value());
    CHECK(result.error().code == ErrorCode::kConflict);
  }
  CHECK_EQUAL(1U, fixture.starts.size());
}

// Guards against tasks refused as unsatisfiable before any target has announced itself, and against
// tasks that wait for more resources than any known target has.
TEST(Scheduler, RefusesTaskThatNoKnownTargetCanFit) {
  SchedulerFixture fixture;
  TaskSpec large = fixture.Task("large", PriorityClass::kOrdinary);
  large.declared_resources.memory = sapphirecrank::base::ByteCount(5000);
  CHECK(fixture.scheduler.Enqueue(large).has_value());
  fixture.AddTarget("a", 4);
  large.key.submission = sapphirecrank::base::SubmissionId("again");
  const auto result = fixture.scheduler.Enqueue(large);
  CHECK_FALSE(result.has_value());
  CHECK(result.error().code == ErrorCode::kUnsatisfiable);
  STRCMP_EQUAL("memory", result.error().field.c_str());
  CHECK(result.error().verdict == sapphirecrank::base::ExecutionVerdict::kNotRun);
}

// Guards against tasks that are queued although they can't meet their deadline, and against
// refusals that rely on a wrong declared run time.
TEST(Scheduler, RefusesTaskThatCannotMeetDeadline) {
  SchedulerFixture fixture;
  fixture.AddTarget("a", 4);
  for (int i = 0; i < 10; ++i) {
    fixture.Enqueue("learn-" + std::to_string(i), PriorityClass::kOrdinary);
    fixture.EndTask(fixture.starts.back(), true, seconds(1));
  }
  TaskSpec task = fixture.Task("late", PriorityClass::kOrdinary);
  task.declared_run_time = milliseconds(1);
  task.deadline = fixture.clock.Now() + milliseconds(200);
  const auto result = fixture.scheduler.Enqueue(task);
  CHECK_FALSE(result.has_value());
  CHECK(result.error().code == ErrorCode::kDeadlineExceeded);
  task.kind = sapphirecrank::base::TaskKind("unknown");
  CHECK(fixture.scheduler.Enqueue(task).has_value());
}

// Guards against queues that grow without limit during a load peak.
TEST(Scheduler, LimitsQueuesOfTeamAndClass) {
  SchedulerSettings settings = SettingsWithoutAdmissionControl();
  settings.team_queue_limit = 2;
  settings.class_queue_limit = 3;
  SchedulerFixture fixture(settings);
  CHECK(fixture.Enqueue("1", PriorityClass::kBulk, "one").has_value());
  CHECK(fixture.Enqueue("2", PriorityClass::kBulk, "one").has_value());
  const auto team_result = fixture.Enqueue("3", PriorityClass::kBulk, "one");
  CHECK_FALSE(team_result.has_value());
  STRCMP_EQUAL("team", team_result.error().field.c_str());
  CHECK(fixture.Enqueue("4", PriorityClass::kBulk, "two").has_value());
  const auto class_result = fixture.Enqueue("5", PriorityClass::kBulk, "two");
  CHECK_FALSE(class_result.has_value());
  STRCMP_EQUAL("class", class_result.error().field.c_str());
  CHECK(fixture.Enqueue("6", PriorityClass::kOrdinary, "two").has_value());
}

// Guards against a submission of which only some tasks are queued.
TEST(Scheduler, QueuesAllTasksOrNone) {
  SchedulerFixture fixture;
  fixture.AddTarget("a", 4);
  std::vector<TaskSpec> tasks(3, fixture.Task("job", PriorityClass::kOrdinary));
  for (uint32_t i = 0; i < 3; ++i) {
    tasks[i].key.index = sapphirecrank::base::TaskIndex(i);
  }
  tasks[2].declared_resources.memory = sapphirecrank::base::ByteCount(5000);
  CHECK_FALSE(fixture.scheduler.EnqueueAll(tasks).has_value());
  CHECK_EQUAL(0U, fixture.starts.size());
  tasks[2].declared_resources.memory = sapphirecrank::base::ByteCount(0);
  CHECK(fixture.scheduler.EnqueueAll(tasks).has_value());
  CHECK_EQUAL(3U, fixture.starts.size());
}

// Guards against cancelled tasks that start, and against a cancellation that removes other tasks or
// running ones.
TEST(Scheduler, CancelsSubmissionsAndTeams) {
  SchedulerFixture fixture;
  fixture.AddTarget("a", 1);
  fixture.Enqueue("running", PriorityClass::kUrgent, "one");
  fixture.Enqueue("first", PriorityClass::kUrgent, "one");
  fixture.Enqueue("second", PriorityClass::kBulk, "one");
  fixture.Enqueue("third", PriorityClass::kOrdinary, "two");
  CHECK_EQUAL(0U, fixture.scheduler.CancelSubmission(fixture.starts[0].task.submission).size());
  CHECK_EQUAL(
      1U, fixture.scheduler.CancelSubmission(sapphirecrank::base::SubmissionId("first")).size());
  CHECK_EQUAL(1U, fixture.scheduler.CancelTeam(sapphirecrank::base::TeamId("one")).size());
  fixture.EndTask(fixture.starts[0], true, kRunTime);
  CHECK_EQUAL(2U, fixture.starts.size());
  STRCMP_EQUAL("third", fixture.StartedSubmission(1).c_str());
}

// Guards against a worker that fails its tasks at once and therefore attracts more of them, and
// against ejection while it is disabled.
TEST(Scheduler, EjectsTargetThatFailsFastIfEnabled) {
  for (const bool enabled : {true, false}) {
    SchedulerFixture fixture;
    AutomaticActions actions;
    actions.ejection = enabled;
    fixture.scheduler.SetAutomaticActions(actions);
    for (int i = 0; i < 5; ++i) {
      fixture.AddTarget("target-" + std::to_string(i), 1);
    }
    int failed_count = 0;
    for (int i = 0; i < 500; ++i) {
      fixture.Enqueue("task-" + std::to_string(i), PriorityClass::kOrdinary);
      const StartDecision decision = fixture.starts.back();
      const bool fails = decision.target == TargetId("target-0");
      failed_count += fails ? 1 : 0;
      fixture.EndTask(decision, !fails, milliseconds(1));
    }
    const auto status = fixture.scheduler.Status();
    CHECK_EQUAL(enabled, failed_count <= 5);
    CHECK_EQUAL(enabled ? 1 : 0, status.health_counters.ejections);
    CHECK_EQUAL(enabled ? 0 : 1, status.health_counters.would_have_ejected);
  }
}

// Guards against bulk tasks that are refused early although bulk shedding is disabled, and against
// wrong counters of refused tasks.
TEST(Scheduler, ShedsBulkOnlyIfEnabled) {
  for (const bool enabled : {true, false}) {
    SchedulerFixture fixture;
    AutomaticActions actions;
    actions.bulk_shedding = enabled;
    fixture.scheduler.SetAutomaticActions(actions);
    fixture.AddTarget("a", 1);
    int refused_count = 0;
    for (int i = 0; i < 200; ++i) {
      TaskSpec task = fixture.Task("bulk-" + std::to_string(i), PriorityClass::kBulk);
      task.deadline = fixture.clock.Now() + std::chrono::hours(10);
      refused_count += fixture.scheduler.Enqueue(task) ? 0 : 1;
      fixture.clock.Advance(milliseconds(10));
    }
    const auto status = fixture.scheduler.Status();
    CHECK_EQUAL(enabled, refused_count > 0);
    CHECK_EQUAL(refused_count, status.bulk_tasks_shed);
    CHECK_EQUAL(enabled, status.bulk_tasks_not_shed == 0);
  }
}

// Guards against a large task that never starts because small tasks keep taking the free capacity.
TEST(Scheduler, ReservesTargetForLargeTask) {
  SchedulerFixture fixture(SettingsWithoutAdmissionControl());
  fixture.AddTarget("a", 4);
  fixture.AddTarget("b", 4);
  for (int i = 0; i < 300; ++i) {
    TaskSpec small = fixture.Task("small-" + std::to_string(i), PriorityClass::kOrdinary);
    small.declared_resources.processors = sapphirecrank::base::MilliCores(900);
    fixture.scheduler.Enqueue(small);
    if (i == 20) {
      TaskSpec large = fixture.Task("large", PriorityClass::kOrdinary);
      large.declared_resources.processors = sapphirecrank::base::MilliCores(3500);
      fixture.scheduler.Enqueue(large);
    }
  }
  size_t ended_count = 0;
  EndOldestTasks(fixture, ended_count, 40);
  bool large_started = false;
  for (size_t i = 0; i < fixture.starts.size(); ++i) {
    large_started |= fixture.StartedSubmission(i) == "large";
  }
  CHECK_TRUE(large_started);
}

// Guards against data races, and against tasks that start twice or never, when several threads use
// the scheduler and its hooks call back into it. The thread sanitizer reports the data races.
TEST(Scheduler, IsThreadSafe) {
  constexpr int kThreads = 4;
  constexpr int kTasks = 200;
  sapphirecrank::base::ManualClock clock;
  std::atomic<int> started{0};
  std::function<void(const StartDecision&)> end;
  Scheduler scheduler(Scheduler::Hooks{clock.AsClock(),
                                       [&](const StartDecision& decision) {
                                         ++started;
                                         end(decision);
                                       },
                                       [](const sapphirecrank::scheduling::TaskRefusal&) {}},
                      SettingsWithoutAdmissionControl());
  end = [&](const StartDecision& decision) {
    scheduler.OnTaskEnded(decision.task, decision.target,
                          {sapphirecrank::base::ExecutionVerdict::kRan, true, kRunTime});
  };
  TargetState target;
  target.id = TargetId("a");
  target.slots = sapphirecrank::base::SlotCount(2);
  target.lease_end = clock.Now() + seconds(10);
  scheduler.UpdateTarget(target);
  std::vector<std::thread> threads;
  threads.reserve(kThreads);
  for (int thread = 0; thread < kThreads; ++thread) {
    threads.emplace_back([&, thread] {
      for (int i = 0; i < kTasks; ++i) {
        TaskSpec task;
        task.key.submission = sapphirecrank::base::SubmissionId(std::to_string(thread));
        task.key.index = sapphirecrank::base::TaskIndex(static_cast<uint32_t>(i));
        task.team = sapphirecrank::base::TeamId(std::to_string(thread));
        task.deadline = clock.Now() + seconds(100);
        scheduler.Enqueue(task);
        scheduler.Tick();
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  CHECK_EQUAL(kThreads * kTasks, started.load());
  CHECK_EQUAL(0, scheduler.Status().queued_tasks);
}
