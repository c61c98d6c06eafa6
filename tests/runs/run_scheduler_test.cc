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
  std::vector<runs::ReturnedTasks> returned_tasks;
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
    hooks.on_tasks_returned = [this](const runs::ReturnedTasks& returned) {
      this->returned_tasks.push_back(returned);
    };
    hooks.on_decision = [](const runs::RunDecision& /*decision*/) {};
    hooks.on_run_events = [](const std::vector<runs::RunEvent>& /*events*/) {};
    return hooks;
  }

  void PlaceBatch(const char* job, bool can_be_returned = false) {
    runs::TaskBatch batch;
    batch.can_be_returned = can_be_returned;
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

// Guards against starts of a service whose scheduler is created after the order: it doesn't get the
// order by itself.
TEST(RunScheduler, ForbidsStartsOfServicesThatAreCreatedAfterTheOrder) {
  this->scheduler.SetEvacuatedDataCentres({base::DataCentreId("zone")});
  this->scheduler.OnTargetReport(this->target.MakeReport(this->now), kFirstToken);
  this->PlaceBatch("returned", true);
  LONGS_EQUAL(1, this->returned_tasks.size());
  this->PlaceBatch("job");
  LONGS_EQUAL(0, this->start_requests.size());
  this->scheduler.SetEvacuatedDataCentres({});
  LONGS_EQUAL(1, this->start_requests.size());
}

// Guards against the same for the start limit, and against a limit that replaces the evacuations.
TEST(RunScheduler, KeepsTheStartLimitAndTheEvacuationsApart) {
  this->scheduler.AllowStartsUntil(this->now - std::chrono::milliseconds(1));
  this->scheduler.OnTargetReport(this->target.MakeReport(this->now), kFirstToken);
  this->PlaceBatch("job");
  LONGS_EQUAL(0, this->start_requests.size());
  this->scheduler.SetEvacuatedDataCentres({base::DataCentreId("zone")});
  this->scheduler.AllowStartsUntil(this->now + std::chrono::seconds(1));
  LONGS_EQUAL(0, this->start_requests.size());
  this->scheduler.SetEvacuatedDataCentres({});
  LONGS_EQUAL(1, this->start_requests.size());
}

// Guards against an operator's view that shows a data centre as empty while runs are active there.
TEST(RunScheduler, CountsRunsByDataCentre) {
  LONGS_EQUAL(0, this->scheduler.RunCounts().size());
  this->scheduler.OnTargetReport(this->target.MakeReport(this->now), kFirstToken);
  this->PlaceBatch("job");
  this->scheduler.SetEvacuatedDataCentres({base::DataCentreId("zone")});
  LONGS_EQUAL(1, this->scheduler.RunCounts().size());
  LONGS_EQUAL(1, this->scheduler.RunCounts().at(base::DataCentreId("zone")));
  // The run is an orphan after its job was cancelled.
  this->scheduler.CancelJob(base::HostId("g"), base::SubmissionId("job"));
  LONGS_EQUAL(1, this->scheduler.RunCounts().at(base::DataCentreId("zone")));
}

// Guards against recalls that don't reach the scheduler of the batch's service.
TEST(RunScheduler, ReturnsRecalledTasks) {
  this->scheduler.OnTargetReport(this->target.MakeReport(this->now), kFirstToken);
  this->PlaceBatch("running", true);
  this->PlaceBatch("waiting", true);
  this->scheduler.RecallBatch(base::HostId("g"),
                              {base::SubmissionId("waiting"), base::BatchNumber(1)});
  LONGS_EQUAL(1, this->returned_tasks.size());
  CHECK(this->returned_tasks[0].key.job == base::SubmissionId("waiting"));
}
