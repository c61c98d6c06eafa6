#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "runs/service_scheduler.h"
#include "tests/support/simulated_target.h"

using namespace sapphirecrank;  // NOLINT(google-build-using-namespace)
using runs::SchedulerActions;
using std::chrono::milliseconds;

namespace {

constexpr int kStepCount = 600;
constexpr base::Duration kStep = milliseconds(20);
// A task may wait this long although there is capacity for it: the limit of the platform.
constexpr base::Duration kMaximumIdleWait = milliseconds(3000);
constexpr int kMaximumRunTimeMilliseconds = 500;
constexpr int64_t kSmallestTarget = 8000;
constexpr int64_t kLargestTarget = 24000;
constexpr int64_t kLongRunningTaskSize = 1000;

base::Resources Processors(int64_t milli_cores) {
  return {base::MilliCores(milli_cores), base::ByteCount(0), base::AcceleratorCount(0)};
}

struct Task {
  base::Resources size;
  base::TimePoint placed_at;
  /// Runs end after this time; never if it is zero.
  base::Duration run_time{0};
  bool has_started = false;
};

/// One scheduler with targets of several sizes and batches of one task each. No request is lost.
class QueueSimulation {
 public:
  explicit QueueSimulation(int target_count) {
    for (int i = 0; i < target_count; ++i) {
      const std::string id = "t" + std::to_string(i);
      const auto size = Processors(*rc::gen::inRange(kSmallestTarget, kLargestTarget + 1));
      this->targets.emplace(base::TargetId(id), testing::SimulatedTarget(id, size, this->now));
      this->sizes.emplace(base::TargetId(id), size);
    }
  }

  void Step() {
    this->now += kStep;
    this->scheduler.OnGatewayAlive(base::HostId("g"), this->now, this->now, this->pending_actions);
    for (auto& [id, target] : this->targets) {
      this->scheduler.OnTargetReport(target.MakeReport(this->now), base::FencingToken(1), this->now,
                                     this->pending_actions);
    }
    this->FinishRuns();
    this->scheduler.Tick(this->now, this->pending_actions);
    this->ExecuteActions();
  }

  void Place(int64_t milli_cores, base::Duration run_time, int priority) {
    runs::TaskBatch batch;
    batch.key = {base::HostId("g"), base::SubmissionId(std::to_string(this->next_job_number++)),
                 base::BatchNumber(1)};
    batch.priority = base::Priority(priority);
    batch.wait_limit = std::chrono::hours(1);
    batch.time_left = std::chrono::hours(1);
    batch.expected_run_time = run_time;
    const runs::JobTaskKey key{batch.key.job, base::OccurrenceNumber(), base::StepIndex(),
                               base::TaskIndex(0)};
    batch.tasks.push_back({key, Processors(milli_cores)});
    this->tasks[key] = {Processors(milli_cores), this->now, run_time};
    this->scheduler.PlaceBatch(batch, this->now, this->pending_actions);
  }

  /// Places small tasks that use a random share of the capacity, and now and then a large one.
  void PlaceRandomTasks(bool can_be_too_large) {
    const auto run_time = milliseconds(*rc::gen::inRange(20, kMaximumRunTimeMilliseconds + 1));
    if (*rc::gen::inRange(0, 3) == 0) {
      this->Place(*rc::gen::inRange<int64_t>(200, 3000), run_time, *rc::gen::inRange(0, 3));
    }
    if (*rc::gen::inRange(0, 20) == 0) {
      const int64_t largest = can_be_too_large ? 2 * kLargestTarget : kSmallestTarget;
      this->Place(*rc::gen::inRange<int64_t>(kSmallestTarget / 2, largest + 1), run_time,
                  *rc::gen::inRange(0, 3));
    }
  }

  /// Places small tasks that would use more than the whole capacity.
  void PlaceManySmallTasks(int priority) {
    for (size_t i = 0; i < this->targets.size(); ++i) {
      this->Place(*rc::gen::inRange<int64_t>(1000, 3000),
                  milliseconds(*rc::gen::inRange(20, kMaximumRunTimeMilliseconds + 1)), priority);
    }
  }

  /// Checks that no task has waited for long while targets with more than half of the capacity had
  /// room for it and were not in use.
  void CheckNoIdleCapacityBesideFittingTasks() {
    base::MilliCores used;
    base::MilliCores total;
    for (const auto& [id, target] : this->targets) {
      used += this->UsedProcessors(target);
      total += this->sizes.at(id).processors;
    }
    for (auto& [key, task] : this->tasks) {
      const bool has_room = !task.has_started && this->CountFreePlaces(task.size) >= 2 &&
                            2 * used.value() < total.value();
      auto& since = this->idle_since[key];
      if (!has_room) {
        since = this->now;
      }
      RC_ASSERT(this->now - std::max(since, task.placed_at) < kMaximumIdleWait);
    }
  }

  bool HasStarted(const std::string& job) const {
    return this->tasks
        .at({base::SubmissionId(job), base::OccurrenceNumber(), base::StepIndex(),
             base::TaskIndex(0)})
        .has_started;
  }

  int64_t LargestTargetSize() const {
    int64_t largest = 0;
    for (const auto& [id, size] : this->sizes) {
      largest = std::max(largest, size.processors.value());
    }
    return largest;
  }

  const std::string last_job() const { return std::to_string(this->next_job_number - 1); }

 private:
  struct ActiveRun {
    base::TargetId target;
    runs::RunKey key;
    base::TimePoint ends_at;
  };

  static base::MilliCores UsedProcessors(const testing::SimulatedTarget& target) {
    base::MilliCores used;
    for (const auto& [key, size] : target.active_runs()) {
      used += size.processors;
    }
    return used;
  }

  int64_t CountFreePlaces(const base::Resources& size) const {
    int64_t count = 0;
    for (const auto& [id, target] : this->targets) {
      const int64_t free = (this->sizes.at(id).processors - UsedProcessors(target)).value();
      count += free / size.processors.value();
    }
    return count;
  }

  void FinishRuns() {
    std::vector<ActiveRun> remaining;
    for (const ActiveRun& run : this->active_runs) {
      if (this->now >= run.ends_at) {
        this->targets.at(run.target).FinishRun(run.key, runs::FinishedRun::Outcome::kSucceeded);
      } else {
        remaining.push_back(run);
      }
    }
    this->active_runs = std::move(remaining);
  }

  void ExecuteActions() {
    constexpr int kRounds = 4;
    for (int round = 0; round < kRounds; ++round) {
      const SchedulerActions actions = std::exchange(this->pending_actions, SchedulerActions());
      for (const runs::StartRequest& request : actions.start_requests) {
        Task& task = this->tasks.at(request.key.task);
        task.has_started = true;
        const auto response =
            this->targets.at(request.target.id).StartRun(request, task.size, this->now);
        RC_ASSERT(response.status == runs::TargetCallStatus::kAccepted);
        if (task.run_time > base::Duration(0)) {
          this->active_runs.push_back({request.target.id, request.key, this->now + task.run_time});
        }
        this->scheduler.OnStartResponse(request, response, this->now, this->pending_actions);
      }
      for (const runs::PollRequest& request : actions.poll_requests) {
        this->scheduler.OnPollResponse(request,
                                       this->targets.at(request.target.id).Poll(request, this->now),
                                       this->now, this->pending_actions);
      }
    }
    for (const auto& [id, target] : this->targets) {
      RC_ASSERT(!target.IsOverCapacity());
    }
  }

  base::TimePoint now{std::chrono::seconds(100)};
  runs::ServiceScheduler scheduler;
  SchedulerActions pending_actions;
  std::map<base::TargetId, testing::SimulatedTarget> targets;
  std::map<base::TargetId, base::Resources> sizes;
  std::map<runs::JobTaskKey, Task> tasks;
  std::map<runs::JobTaskKey, base::TimePoint> idle_since;
  std::vector<ActiveRun> active_runs;
  int next_job_number = 1;
};

}  // namespace

TEST_GROUP(BatchQueueProperty){};

// Guards against idle targets beside tasks that fit on them: tasks wait in front that no target can
// ever hold, or only a target that long-running tasks use (review/9).
TEST(BatchQueueProperty, NoTaskWaitsForLongBesideIdleTargets) {
  const bool holds = rc::check([] {
    QueueSimulation simulation(*rc::gen::inRange(1, 5));
    simulation.Step();
    simulation.Place(kLongRunningTaskSize, base::Duration(0), 0);
    for (int i = 0; i < kStepCount; ++i) {
      simulation.PlaceRandomTasks(true);
      simulation.Step();
      simulation.CheckNoIdleCapacityBesideFittingTasks();
    }
  });
  CHECK_TRUE(holds);
}

// Guards against a large task that waits for ever because small ones, which arrive all the time,
// use each part of the capacity that becomes free.
TEST(BatchQueueProperty, SmallTasksDoNotStarveALargeOne) {
  const bool holds = rc::check([] {
    QueueSimulation simulation(*rc::gen::inRange(1, 5));
    simulation.Step();
    for (int i = 0; i < 50; ++i) {
      simulation.PlaceManySmallTasks(1);
      simulation.Step();
    }
    // Tasks that no target can hold wait in front of it.
    simulation.Place(simulation.LargestTargetSize() + 1, milliseconds(100), 0);
    simulation.Place(simulation.LargestTargetSize(), milliseconds(100), 1);
    const std::string large_job = simulation.last_job();
    constexpr int kBoundInSteps = 3000 / 20;
    for (int i = 0; i < kBoundInSteps && !simulation.HasStarted(large_job); ++i) {
      simulation.PlaceManySmallTasks(1);
      simulation.Step();
    }
    RC_ASSERT(simulation.HasStarted(large_job));
  });
  CHECK_TRUE(holds);
}
