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

TEST_GROUP(RunPool) {
  base::TimePoint now{std::chrono::seconds(100)};
  testing::SimulatedTarget target{"t1", OneCore(), base::TimePoint{std::chrono::seconds(90)}};
  std::vector<runs::StartRequest> starts;
  // Without this, looks get no answer.
  bool is_answering = true;
  runs::RunScheduler pool{{}, this->PoolHooks()};

  runs::RunScheduler::Hooks PoolHooks() {
    runs::RunScheduler::Hooks hooks;
    hooks.now = [this] { return this->now; };
    hooks.start_run = [this](const runs::StartRequest& order, const auto& /*done*/) {
      this->starts.push_back(order);
    };
    hooks.stop_run = [](const runs::StopRequest& /*order*/, const auto& /*done*/) {};
    hooks.poll_target = [this](const runs::PollRequest& order, const auto& done) {
      if (this->is_answering) {
        done(this->target.Poll(order, this->now));
      }
    };
    hooks.on_batch_end = [](const runs::BatchResult& /*end*/) {};
    hooks.on_decision = [](const runs::RunDecision& /*decision*/) {};
    hooks.on_run_events = [](const std::vector<runs::RunEvent>& /*notices*/) {};
    return hooks;
  }

  void Place(const char* job) {
    runs::TaskBatch part;
    part.key = {base::HostId("g"), base::SubmissionId(job), base::BatchNumber(1)};
    part.service = base::ServiceId("service");
    part.wait_limit = std::chrono::seconds(1);
    part.time_left = std::chrono::seconds(2);
    part.tasks = {{{part.key.job, base::OccurrenceNumber(), base::StepIndex(), base::TaskIndex()},
                   OneCore()}};
    this->pool.OnGatewayAlive(part.key.gateway, this->now);
    this->pool.PlaceBatch(part);
  }
};

// Guards against runs on a target that another host owns, with the token that its owner uses as
// well (seen on the bench as LIMIT: ionaberta-sched-grown scale-2, and ionaberta-sched
// owner-changes with a target that the host had not heard of for 10 s).
TEST(RunPool, StartsNothingOnATargetThatItGivesUp) {
  const runs::TargetReport report = this->target.MakeReport(this->now);
  this->is_answering = false;
  this->pool.OnTargetReport(report, kFirstToken);
  this->Place("job");
  LONGS_EQUAL(0, this->starts.size());
  this->is_answering = true;
  // The host may have forgotten the target, which reports to its owner.
  this->pool.OnOwnershipChange(kNextToken, false, [](const runs::TargetReport&) { return false; },
                               {});
  LONGS_EQUAL(0, this->starts.size());
}

// Guards against owned targets that stay unused after a new division.
TEST(RunPool, StartsOnTheTargetsThatItOwnsWithTheNewToken) {
  const runs::TargetReport report = this->target.MakeReport(this->now);
  this->Place("job");
  this->pool.OnOwnershipChange(kNextToken, false, [](const runs::TargetReport&) { return true; },
                               {report});
  LONGS_EQUAL(1, this->starts.size());
  CHECK(this->starts[0].target.fencing_token == kNextToken);
}

// Guards against parts of a new service that wait for the next heartbeat of their gateway.
TEST(RunPool, KnowsGatewaysFromBeforeTheFirstPartOfAService) {
  this->pool.OnGatewayAlive(base::HostId("g"), this->now);
  this->pool.OnTargetReport(this->target.MakeReport(this->now), kFirstToken);
  this->Place("job");
  LONGS_EQUAL(1, this->starts.size());
}
