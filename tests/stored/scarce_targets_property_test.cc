#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <algorithm>
#include <string>
#include <vector>

#include "tests/stored/scarce_targets_simulation.h"

using namespace sapphirecrank;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using testing::ScarceTargetsSimulation;
using JobSpec = ScarceTargetsSimulation::JobSpec;

namespace {

constexpr const char* kScarce = "scarce";
// A task may wait this long although there is capacity for it: the limit of the platform.
constexpr base::Duration kMaximumIdleWait = milliseconds(3000);
constexpr int64_t kTargetSize = 16000;
constexpr int kAllocatorCount = 3;
constexpr int kStepMilliseconds = 20;

base::Resources Processors(int64_t milli_cores) {
  return {base::MilliCores(milli_cores), base::ByteCount(0), base::AcceleratorCount(0)};
}

/// Each allocator has one scarce target and some others.
void AddTargets(ScarceTargetsSimulation& simulation) {
  const int other_target_count = *rc::gen::inRange(2, 5);
  for (int allocator = 0; allocator < kAllocatorCount; ++allocator) {
    const std::string prefix = "t" + std::to_string(allocator);
    simulation.AddTarget(allocator, prefix + "-scarce", kScarce, Processors(kTargetSize));
    for (int i = 0; i < other_target_count; ++i) {
      simulation.AddTarget(allocator, prefix + "-" + std::to_string(i), "other",
                           Processors(kTargetSize));
    }
  }
  simulation.WaitUntilLeading();
}

}  // namespace

TEST_GROUP(ScarceTargetsProperty){};

// Guards against stored jobs that never start while targets are idle, because many tasks wait that
// can only use scarce targets (review/13, LOST), and against waiting tasks that pile up at the
// allocators.
TEST(ScarceTargetsProperty, NoJobWaitsForLongBesideIdleTargets) {
  const bool holds = rc::check([] {
    constexpr int kSteps = 250;
    constexpr int kWidth = 16;
    ScarceTargetsSimulation simulation;
    AddTargets(simulation);
    const int64_t large_size = *rc::gen::inRange<int64_t>(4000, kTargetSize / 2);
    const int large_job_count = *rc::gen::inRange(6, 13);
    for (int i = 0; i < large_job_count; ++i) {
      simulation.Submit({kScarce, Processors(large_size), kWidth, milliseconds(8100)});
    }
    // The capacity of an allocator in tasks of the smallest size.
    constexpr int64_t kMaximumWaitingTasks = 5 * kTargetSize / 1000 + kWidth;
    for (int i = 0; i < kSteps; ++i) {
      if (*rc::gen::inRange(0, 10) == 0) {
        const std::string label = *rc::gen::element<std::string>("", "other", kScarce);
        const int64_t size = *rc::gen::inRange<int64_t>(1000, 8000);
        simulation.Submit({label, Processors(size), *rc::gen::inRange(1, 4),
                           milliseconds(*rc::gen::inRange(20, 500))});
      }
      simulation.Step();
      RC_ASSERT(simulation.MostWaitingTasks() <= kMaximumWaitingTasks);
    }
    RC_ASSERT(simulation.LongestIdleWait() < kMaximumIdleWait);
  });
  CHECK_TRUE(holds);
}

// Guards against tasks for scarce targets that wait for ever beside others of their size, which
// arrive all the time and may use the same targets.
TEST(ScarceTargetsProperty, ScarceTasksStartWhenTheirTargetsComeFree) {
  const bool holds = rc::check([] {
    constexpr int kWidth = 6;
    ScarceTargetsSimulation simulation;
    AddTargets(simulation);
    const int64_t size = *rc::gen::inRange<int64_t>(4000, kTargetSize / 2);
    const int run_time_ms = *rc::gen::inRange(100, 800);
    const auto submit_others = [&] {
      simulation.Submit({"", Processors(size), kWidth, milliseconds(run_time_ms)});
    };
    for (int i = 0; i < kWidth; ++i) {
      submit_others();
    }
    std::vector<base::SubmissionId> scarce_jobs;
    scarce_jobs.reserve(kWidth);
    for (int i = 0; i < kWidth; ++i) {
      scarce_jobs.push_back(
          simulation.Submit({kScarce, Processors(size), kWidth, milliseconds(run_time_ms)}));
    }
    // Each scarce target has at least two places. Twice the time that the work takes there, and the
    // time that a task may wait beside free capacity for each round of runs.
    constexpr int kRounds = kWidth * kWidth / (2 * kAllocatorCount);
    const int bound_ms = kRounds * (2 * run_time_ms + 1000) + 3000;
    const auto have_all_started = [&] {
      return std::all_of(scarce_jobs.begin(), scarce_jobs.end(),
                         [&simulation](const base::SubmissionId& job) {
                           return simulation.CountStartedTasks(job) == kWidth;
                         });
    };
    for (int passed_ms = 0; passed_ms < bound_ms && !have_all_started();
         passed_ms += kStepMilliseconds) {
      if (passed_ms % 100 == 0) {
        submit_others();
      }
      simulation.Step();
    }
    RC_ASSERT(have_all_started());
  });
  CHECK_TRUE(holds);
}
