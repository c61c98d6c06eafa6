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

base::Resources Processors(int64_t milli_cores) {
  return {base::MilliCores(milli_cores), base::ByteCount(0), base::AcceleratorCount(0)};
}

/// A scheduler with targets that may be cold. Runs that are started never end.
class ColdTargetSimulation {
 public:
  void AddTarget(const std::string& id, int64_t milli_cores, base::Duration cold_time_left) {
    auto added = this->targets.emplace(
        base::TargetId(id), testing::SimulatedTarget(id, Processors(milli_cores), this->now));
    this->Report(added.first->second, cold_time_left);
    for (const runs::PollRequest& request : this->TakeActions().poll_requests) {
      this->scheduler.OnPollResponse(request,
                                     this->targets.at(request.target.id).Poll(request, this->now),
                                     this->now, this->pending_actions);
    }
  }

  /// Reports all targets as warm at the present time.
  void ReportAllAsWarm() {
    for (auto& [id, target] : this->targets) {
      this->Report(target, base::Duration(0));
    }
  }

  /// Places a task and returns the target that it is started on; empty if there is none.
  std::string PlaceTask(int64_t milli_cores) {
    runs::TaskBatch batch;
    batch.key = {base::HostId("g"), base::SubmissionId(std::to_string(this->next_job_number++)),
                 base::BatchNumber(1)};
    batch.wait_limit = std::chrono::hours(1);
    batch.time_left = std::chrono::hours(1);
    batch.tasks.push_back(
        {{batch.key.job, base::OccurrenceNumber(), base::StepIndex(), base::TaskIndex()},
         Processors(milli_cores)});
    this->scheduler.OnGatewayAlive(base::HostId("g"), this->now, this->now, this->pending_actions);
    this->TakeActions();
    this->scheduler.PlaceBatch(batch, this->now, this->pending_actions);
    const SchedulerActions actions = this->TakeActions();
    return actions.start_requests.empty() ? "" : actions.start_requests[0].target.id.value();
  }

  base::TimePoint now{std::chrono::seconds(100)};

 private:
  void Report(testing::SimulatedTarget& target, base::Duration cold_time_left) {
    runs::TargetReport report = target.MakeReport(this->now);
    report.cold_time_left = cold_time_left;
    this->scheduler.OnTargetReport(report, base::FencingToken(1), this->now, this->pending_actions);
  }

  SchedulerActions TakeActions() {
    return std::exchange(this->pending_actions, SchedulerActions());
  }

  runs::ServiceScheduler scheduler;
  SchedulerActions pending_actions;
  std::map<base::TargetId, testing::SimulatedTarget> targets;
  int next_job_number = 1;
};

}  // namespace

TEST_GROUP(ServiceSchedulerColdTarget) { ColdTargetSimulation simulation; };

// Guards against tasks on a slow target while a warm one has room: best fit would choose the cold
// one, which is smaller.
TEST(ServiceSchedulerColdTarget, PrefersWarmTargets) {
  this->simulation.AddTarget("cold", 8000, milliseconds(5000));
  this->simulation.AddTarget("warm", 16000, milliseconds(0));
  STRCMP_EQUAL("warm", this->simulation.PlaceTask(7000).c_str());
  STRCMP_EQUAL("warm", this->simulation.PlaceTask(7000).c_str());
}

// Guards against tasks that wait beside a cold target that has room.
TEST(ServiceSchedulerColdTarget, UsesAColdTargetIfNoWarmOneHasRoom) {
  this->simulation.AddTarget("cold", 8000, milliseconds(5000));
  this->simulation.AddTarget("warm", 16000, milliseconds(0));
  this->simulation.PlaceTask(16000);
  STRCMP_EQUAL("cold", this->simulation.PlaceTask(7000).c_str());
}

// Guards against a target that counts as cold until its next report.
TEST(ServiceSchedulerColdTarget, CountsAsWarmOnceTheReportedTimeHasPassed) {
  this->simulation.AddTarget("cold", 8000, milliseconds(500));
  this->simulation.AddTarget("warm", 16000, milliseconds(0));
  this->simulation.now += milliseconds(499);
  STRCMP_EQUAL("warm", this->simulation.PlaceTask(1000).c_str());
  this->simulation.now += milliseconds(1);
  STRCMP_EQUAL("cold", this->simulation.PlaceTask(1000).c_str());
}

// Guards against a target that stays cold although a later report says that it is warm.
TEST(ServiceSchedulerColdTarget, CountsAsWarmAfterAReportThatSaysSo) {
  this->simulation.AddTarget("cold", 8000, milliseconds(5000));
  this->simulation.AddTarget("warm", 16000, milliseconds(0));
  this->simulation.now += milliseconds(1);
  this->simulation.ReportAllAsWarm();
  STRCMP_EQUAL("cold", this->simulation.PlaceTask(7000).c_str());
}

// Guards against other choices in deployments whose targets report no cold time: the target with
// the least free capacity that holds the task, and of several the first by id. If all targets are
// cold, the choice is the same.
TEST(ServiceSchedulerColdTarget, ChoosesByBestFitIfAllTargetsAreAlike) {
  const bool holds = rc::check([] {
    ColdTargetSimulation simulation;
    std::map<std::string, int64_t> free;
    const auto cold_time_left = milliseconds(*rc::gen::arbitrary<bool>() ? 5000 : 0);
    const int target_count = *rc::gen::inRange(1, 6);
    for (int i = 0; i < target_count; ++i) {
      const std::string id = "t" + std::to_string(i);
      free[id] = *rc::gen::inRange<int64_t>(4, 17) * 1000;
      simulation.AddTarget(id, free[id], cold_time_left);
    }
    constexpr int kTaskCount = 12;
    for (int i = 0; i < kTaskCount; ++i) {
      const int64_t size = *rc::gen::inRange<int64_t>(1, 9) * 1000;
      std::string expected;
      for (const auto& [id, free_processors] : free) {
        if (free_processors >= size && (expected.empty() || free_processors < free[expected])) {
          expected = id;
        }
      }
      if (expected.empty()) {
        return;  // Tasks would wait, and targets might be reserved for them.
      }
      RC_ASSERT(simulation.PlaceTask(size) == expected);
      free[expected] -= size;
    }
  });
  CHECK_TRUE(holds);
}
