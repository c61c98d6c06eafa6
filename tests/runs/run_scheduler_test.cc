#include "runs/run_scheduler.h"

#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

#include "tests/support/simulated_target.h"

using namespace sapphirecrank;  // NOLINT(google-build-using-namespace)

namespace {

constexpr base::FencingToken kFirstToken(5);
constexpr base::FencingToken kNextToken(6);

base::Resources OneCore() {
  return {base::MilliCores(1000), base::ByteCount(0), base::AcceleratorCount(0)};
}

}  // namespace

TEST_GROUP(RunScheduler) {
  base::TimePoint now{std::chrono::seconds(100)};
  testing::SimulatedTarget target{"t1", OneCore(), base::TimePoint{std::chrono::seconds(90)}};
  std::vector<runs::StartRequest> start_requests;
  // If false, polls get no response.
  bool is_responding = true;
  runs::RunScheduler scheduler{{}, this->MakeHooks()};

  runs::RunScheduler::Hooks MakeHooks() {
    runs::RunScheduler::Hooks hooks;
    hooks.now = [this] { return this->now; };
    hooks.start_run = [this](const runs::StartRequest& request, const auto& /*callback*/) {
      this->start_requests.push_back(request);
    };
    hooks.stop_run = [](const runs::StopRequest& /*request*/, const auto& /*callback*/) {};
    hooks.poll_target = [this](const runs::PollRequest& request, const auto& callback) {
      if (this->is_responding) {
        callback(this->target.Poll(request, this->now));
      }
    };
    hooks.on_batch_end = [](const runs::BatchResult& /*result*/) {};
    hooks.on_tasks_returned = [](const runs::ReturnedTasks& /*returned*/) {};
    hooks.on_decision = [](const runs::RunDecision& /*decision*/) {};
    hooks.on_run_events = [](const std::vector<runs::RunEvent>& /*events*/) {};
    return hooks;
  }

  void PlaceBatch(const char* job) {
    runs::TaskBatch batch;
    batch.key = {base::HostId("g"), base::SubmissionId(job), base::BatchNumber(1)};
    batch.service = base::ServiceId("service");
    batch.wait_limit = std::chrono::seconds(1);
    batch.time_left = std::chrono::seconds(2);
    batch.tasks = {{{batch.key.job, base::OccurrenceNumber(), base::StepIndex(), base::TaskIndex()},
                    OneCore()}};
    this->scheduler.OnGatewayAlive(batch.key.gateway, this->now);
    this->scheduler.PlaceBatch(batch);
  }
};

// Guards against starting runs on a target that another host owns, with the fencing token that its
// owner uses too. The bench reported this as LIMIT in ionaberta-sched-grown scale-2, and in
// ionaberta-sched owner-changes with a target that the host had not heard from for 10 s.
TEST(RunScheduler, StartsNothingOnReleasedTargets) {
  const runs::TargetReport report = this->target.MakeReport(this->now);
  this->is_responding = false;
  this->scheduler.OnTargetReport(report, kFirstToken);
  this->PlaceBatch("job");
  LONGS_EQUAL(0, this->start_requests.size());
  this->is_responding = true;
  // The list of owned targets is empty: a target reports to its owner only, and this host may have
  // forgotten it.
  this->scheduler.OnOwnershipChange(kNextToken, false,
                                    [](const runs::TargetReport&) { return false; }, {});
  LONGS_EQUAL(0, this->start_requests.size());
}

// Guards against owned targets that stay unused after a change of ownership.
TEST(RunScheduler, StartsRunsOnOwnedTargetsWithTheNewToken) {
  const runs::TargetReport report = this->target.MakeReport(this->now);
  this->PlaceBatch("job");
  this->scheduler.OnOwnershipChange(kNextToken, false,
                                    [](const runs::TargetReport&) { return true; }, {report});
  LONGS_EQUAL(1, this->start_requests.size());
  CHECK(this->start_requests[0].target.fencing_token == kNextToken);
}

// Guards against the first batch of a service waiting for the next heartbeat of its gateway,
// because the new scheduler of the service doesn't know yet that the gateway is alive.
TEST(RunScheduler, KnowsLivenessOfGatewaysBeforeTheFirstBatchOfAService) {
  this->scheduler.OnGatewayAlive(base::HostId("g"), this->now);
  this->scheduler.OnTargetReport(this->target.MakeReport(this->now), kFirstToken);
  this->PlaceBatch("job");
  LONGS_EQUAL(1, this->start_requests.size());
}
