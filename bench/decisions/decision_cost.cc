#include "bench/decisions/decision_cost.h"

#include <algorithm>
#include <ctime>
#include <deque>
#include <random>
#include <string>
#include <vector>

#include "base/manual_clock.h"
#include "scheduling/scheduler.h"

namespace sapphirecrank::bench {

using scheduling::TaskSpec;

namespace {
constexpr int kSlotsPerTarget = 16;
constexpr size_t kMeasuredStarts = 100000;
/// The minimum of several measurements is used, because other processes share the caches and cores.
constexpr int kRepetitions = 8;
constexpr size_t kQueuedTaskCount = 2000;
constexpr size_t kKindCount = 20;
constexpr size_t kTasksPerJob = 20;

double ProcessorSeconds() {
  timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

std::vector<TaskSpec> MakeTasks(size_t count, size_t team_count, base::TimePoint now) {
  std::mt19937_64 random_engine(1);
  std::vector<TaskSpec> tasks(count);
  for (size_t i = 0; i < count; ++i) {
    const size_t job = i / kTasksPerJob;
    TaskSpec& task = tasks[i];
    task.key.submission = base::SubmissionId("centre-a:job-" + std::to_string(job));
    task.key.index = base::TaskIndex(static_cast<uint32_t>(i % kTasksPerJob));
    task.team = base::TeamId("team-" + std::to_string(random_engine() % team_count));
    task.kind = base::TaskKind("kind-" + std::to_string(random_engine() % kKindCount));
    task.priority_class =
        static_cast<base::PriorityClass>(random_engine() % base::kPriorityClassCount);
    task.declared_resources.processors =
        base::MilliCores(200 + static_cast<int64_t>(random_engine() % 1500));
    task.declared_resources.memory =
        base::ByteCount(static_cast<int64_t>(random_engine() % 3) << 30);
    task.declared_run_time = std::chrono::milliseconds(50 + random_engine() % 1000);
    task.deadline = now + std::chrono::hours(1);
  }
  return tasks;
}

double MeasureOnce(size_t target_count, size_t team_count) {
  base::ManualClock clock;
  std::deque<scheduling::StartDecision> running;
  size_t started = 0;
  scheduling::Scheduler::Hooks hooks;
  hooks.now = clock.AsClock();
  hooks.start_task = [&](const scheduling::StartDecision& decision) {
    ++started;
    running.push_back(decision);
  };
  hooks.on_task_refused = [](const scheduling::TaskRefusal&) {};
  scheduling::SchedulerSettings settings;
  settings.is_admission_control_enabled = false;
  scheduling::Scheduler scheduler(hooks, settings);
  for (size_t i = 0; i < target_count; ++i) {
    scheduling::TargetState target;
    target.id = base::TargetId("target-" + std::to_string(i));
    target.slots = base::SlotCount(kSlotsPerTarget);
    target.capacity.processors = base::MilliCores(16000);
    target.capacity.memory = base::ByteCount(int64_t{32} << 30);
    target.lease_end = clock.Now() + std::chrono::hours(1);
    scheduler.UpdateTarget(target);
  }
  const size_t initial_task_count = target_count * kSlotsPerTarget + kQueuedTaskCount;
  const std::vector<TaskSpec> tasks =
      MakeTasks(initial_task_count + kMeasuredStarts, team_count, clock.Now());
  for (size_t i = 0; i < initial_task_count; ++i) {
    scheduler.Enqueue(tasks[i]);
  }
  const size_t started_before = started;
  const double seconds_before = ProcessorSeconds();
  scheduling::TaskOutcome outcome;
  outcome.succeeded = true;
  for (size_t i = initial_task_count; i < tasks.size(); ++i) {
    clock.Advance(std::chrono::microseconds(100));
    scheduler.Enqueue(tasks[i]);
    if (running.empty()) {
      continue;
    }
    const scheduling::StartDecision finished_start = running.front();
    running.pop_front();
    outcome.response_time = std::chrono::milliseconds(100 + i % 700);
    scheduler.OnTaskEnded(finished_start.task, finished_start.target, outcome);
  }
  const double seconds = ProcessorSeconds() - seconds_before;
  return 1e6 * seconds / static_cast<double>(std::max<size_t>(1, started - started_before));
}

}  // namespace

double MeasureDecisionCost(size_t target_count, size_t team_count) {
  double minimum = MeasureOnce(target_count, team_count);
  for (int i = 1; i < kRepetitions; ++i) {
    minimum = std::min(minimum, MeasureOnce(target_count, team_count));
  }
  return minimum;
}

}  // namespace sapphirecrank::bench
