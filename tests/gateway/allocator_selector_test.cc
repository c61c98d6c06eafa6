#include "gateway/allocator_selector.h"

#include <CppUTest/TestHarness.h>

#include <optional>
#include <set>

#include "base/manual_clock.h"

using namespace sapphirecrank;  // NOLINT(google-build-using-namespace)
using base::HostId;
using base::ServiceId;
using base::TaskCount;

namespace {

runs::CapacityReport MakeReport(const char* data_centre, int64_t free, int64_t waiting) {
  runs::CapacityReport report;
  report.data_centre = base::DataCentreId(data_centre);
  runs::CapacityReport::ServiceCapacity capacity;
  capacity.service = ServiceId("s");
  capacity.free_task_capacity = TaskCount(free);
  capacity.total_task_capacity = TaskCount(30);
  capacity.waiting_task_count = TaskCount(waiting);
  report.service_capacities = {capacity};
  return report;
}

}  // namespace

TEST_GROUP(AllocatorSelector) {
  base::ManualClock clock;
  gateway::AllocatorSelector selector{base::DataCentreId("near"), this->clock.AsClock()};

  std::optional<HostId> Choose(const char* service, int64_t count) {
    gateway::AllocatorRequest request;
    request.service = ServiceId(service);
    request.count = TaskCount(count);
    return this->Choose(request);
  }

  std::optional<HostId> Choose(const gateway::AllocatorRequest& request) {
    const auto choice = this->selector.ChooseAllocator(request);
    return choice ? std::make_optional(choice->allocator) : std::nullopt;
  }
};

// Guards against traffic between data centres while this one has free capacity.
TEST(AllocatorSelector, PrefersItsOwnDataCentreWhileItHasFreeCapacity) {
  this->selector.OnCapacityReport(HostId("far"), MakeReport("far", 20, 0));
  this->selector.OnCapacityReport(HostId("near"), MakeReport("near", 8, 0));
  CHECK(this->Choose("s", 8) == HostId("near"));
  // Placed tasks are subtracted at once, so that two jobs aren't given the same capacity.
  CHECK(this->Choose("s", 8) == HostId("far"));
}

// Guards against choosing an allocator again that has given the tasks back while another one may
// hold them, and against choosing none if there is no other one.
TEST(AllocatorSelector, ChoosesAvoidedAllocatorsLast) {
  this->selector.OnCapacityReport(HostId("near"), MakeReport("near", 20, 0));
  this->selector.OnCapacityReport(HostId("far"), MakeReport("far", 0, 5));
  const auto choose = [this](const std::set<HostId>& avoided) {
    return *this->selector.ChooseAllocatorWithoutFullBacklog(ServiceId("s"), TaskCount(1),
                                                             runs::TaskRequirements(), avoided);
  };
  CHECK(choose({}) == HostId("near"));
  CHECK(choose({HostId("near")}) == HostId("far"));
  CHECK(choose({HostId("near"), HostId("far")}) == HostId("near"));
}

// Pattern: one kind asks for several times its usual rate; all gateways choose the same allocator
// from the same report. Guards against that, and against sending as much to an allocator with
// little free capacity, or with a long backlog, as to the others.
TEST(AllocatorSelector, SpreadsRequestsInProportionToFreeCapacityOrBacklog) {
  gateway::AllocatorRequest request;
  request.service = ServiceId("s");
  request.count = TaskCount(1);
  const auto choose = [&](double random_number) {
    request.random_number = random_number;
    return *this->Choose(request);
  };
  const auto report = [this](int64_t free, int64_t waiting, int64_t other_free,
                             int64_t other_waiting) {
    this->clock.Advance(std::chrono::milliseconds(50));
    this->selector.OnCapacityReport(HostId("a"), MakeReport("near", free, waiting));
    this->selector.OnCapacityReport(HostId("b"), MakeReport("near", other_free, other_waiting));
  };
  report(20, 0, 10, 0);
  CHECK(choose(0.64) == HostId("a"));
  report(20, 0, 10, 0);
  CHECK(choose(0.69) == HostId("b"));
  // An allocator without room isn't chosen while another one has some.
  report(0, 0, 2, 0);
  CHECK(choose(0) == HostId("b"));
  // Both have 30 targets; a has a backlog of 30 tasks.
  report(0, 30, 0, 0);
  CHECK(choose(0.32) == HostId("a"));
  report(0, 30, 0, 0);
  CHECK(choose(0.35) == HostId("b"));
}

// Guards against giving the same capacity to two jobs because a report that the allocator sent
// before the first one reached it has arrived in between.
TEST(AllocatorSelector, SubtractsTasksThatWereOnTheirWayDuringAReport) {
  this->selector.OnCapacityReport(HostId("near"), MakeReport("near", 8, 0));
  this->selector.OnCapacityReport(HostId("far"), MakeReport("far", 8, 0));
  CHECK(this->Choose("s", 8) == HostId("near"));
  this->clock.Advance(std::chrono::milliseconds(2));
  this->selector.OnCapacityReport(HostId("near"), MakeReport("near", 8, 0));
  CHECK(this->Choose("s", 8) == HostId("far"));
  this->clock.Advance(std::chrono::milliseconds(50));
  this->selector.OnCapacityReport(HostId("near"), MakeReport("near", 8, 0));
  CHECK(this->Choose("s", 8) == HostId("near"));
}

// Pattern: evacuation. Guards against placing tasks again with the allocator that has just returned
// them, by a report that it sent before, and against leaving it out after it has reported again.
TEST(AllocatorSelector, ChoosesAnAvoidedAllocatorOnlyAfterItsNextReport) {
  this->selector.OnCapacityReport(HostId("near"), MakeReport("near", 20, 0));
  gateway::AllocatorRequest request;
  request.service = ServiceId("s");
  request.count = TaskCount(1);
  request.avoided[HostId("near")] = this->clock.Now();
  CHECK_FALSE(this->Choose(request).has_value());
  this->clock.Advance(std::chrono::milliseconds(10));
  this->selector.OnCapacityReport(HostId("near"), MakeReport("near", 20, 0));
  CHECK(this->Choose(request) == HostId("near"));
  this->selector.OnCapacityReport(HostId("far"), MakeReport("far", 0, 5));
  CHECK(this->Choose(request) == HostId("far"));
}

// Guards against placing a refused batch once more where it would wait again: with an allocator
// that has too little free capacity, waiting tasks or an old report.
TEST(AllocatorSelector, FindsFreeCapacityForAllTasks) {
  gateway::AllocatorRequest request;
  request.service = ServiceId("s");
  request.count = TaskCount(8);
  request.needs_free_capacity = true;
  this->selector.OnCapacityReport(HostId("near"), MakeReport("near", 7, 0));
  this->selector.OnCapacityReport(HostId("busy"), MakeReport("near", 20, 1));
  this->selector.OnCapacityReport(HostId("far"), MakeReport("far", 12, 0));
  CHECK(this->Choose(request) == HostId("far"));
  // The placed tasks count until the next report.
  CHECK_FALSE(this->Choose(request).has_value());
  this->selector.OnCapacityReport(HostId("far"), MakeReport("far", 12, 0));
  this->clock.Advance(std::chrono::milliseconds(250));
  CHECK_FALSE(this->Choose(request).has_value());
  LONGS_EQUAL(0, this->selector.RecentCapacities().size());
}

// Guards against choosing an allocator that is leaving, is lost or has no targets of the service.
TEST(AllocatorSelector, IgnoresAllocatorsThatCannotStartTasks) {
  CHECK_FALSE(this->selector.HasReports());
  runs::CapacityReport leaving = MakeReport("near", 20, 0);
  leaving.is_leaving = true;
  this->selector.OnCapacityReport(HostId("a"), leaving);
  CHECK_FALSE(this->Choose("s", 1).has_value());
  this->selector.OnCapacityReport(HostId("b"), MakeReport("far", 1, 0));
  CHECK_FALSE(this->Choose("other", 1).has_value());
  CHECK(this->Choose("s", 1).has_value());
  this->selector.OnAllocatorLost(HostId("b"));
  CHECK_FALSE(this->Choose("s", 1).has_value());
}

// Pattern: loss of an allocator. Guards against placing jobs with a silent allocator for the second
// until it counts as lost; none of these jobs is served.
TEST(AllocatorSelector, AvoidsAllocatorsThatHaveFallenSilent) {
  this->selector.OnCapacityReport(HostId("near"), MakeReport("near", 20, 0));
  this->clock.Advance(std::chrono::milliseconds(250));
  this->selector.OnCapacityReport(HostId("far"), MakeReport("far", 1, 9));
  CHECK(this->Choose("s", 4) == HostId("far"));
  this->selector.OnAllocatorLost(HostId("far"));
  CHECK(this->Choose("s", 4) == HostId("near"));
  this->clock.Advance(std::chrono::milliseconds(250));
  CHECK_FALSE(this->Choose("s", 4).has_value());
  this->selector.OnCapacityReport(HostId("near"), MakeReport("near", 20, 0));
  CHECK(this->Choose("s", 4) == HostId("near"));
}

// Pattern: overload. Guards against an expected wait that counts tasks of lower priority, which
// start later, or that ignores an allocator with free capacity.
TEST(AllocatorSelector, ExpectsToWaitForTasksOfHigherOrEqualPriority) {
  runs::CapacityReport report = MakeReport("near", 0, 30);
  report.service_capacities[0].waiting_by_priority = {{base::Priority(0), TaskCount(10)},
                                                      {base::Priority(2), TaskCount(20)}};
  report.service_capacities[0].mean_end_interval = std::chrono::milliseconds(10);
  this->selector.OnCapacityReport(HostId("near"), report);
  const auto wait = [this](int32_t priority) {
    return *this->selector.ExpectedWait(ServiceId("s"), TaskCount(4), runs::TaskRequirements(),
                                        base::Priority(priority));
  };
  CHECK(wait(0) == std::chrono::milliseconds(140));
  CHECK(wait(1) == std::chrono::milliseconds(140));
  CHECK(wait(2) == std::chrono::milliseconds(340));
  this->selector.OnCapacityReport(HostId("far"), MakeReport("far", 8, 0));
  CHECK(wait(2) == base::Duration(0));
  CHECK_FALSE(this->selector
                  .ExpectedWait(ServiceId("other"), TaskCount(1), runs::TaskRequirements(),
                                base::Priority(0))
                  .has_value());
}

// Guards against requests to a gateway that uses the address of an allocator that is gone.
TEST(AllocatorSelector, KnowsWhichHostsAreAllocators) {
  CHECK_FALSE(this->selector.HasReportOf(HostId("a")));
  this->selector.OnCapacityReport(HostId("a"), MakeReport("near", 20, 0));
  CHECK_TRUE(this->selector.HasReportOf(HostId("a")));
  CHECK_FALSE(this->selector.HasReportOf(HostId("b")));
  this->selector.OnAllocatorLost(HostId("a"));
  CHECK_FALSE(this->selector.HasReportOf(HostId("a")));
}

// Guards against stored jobs that no allocator takes while targets are idle: many tasks wait that
// only scarce targets can run (review/13, LOST).
TEST(AllocatorSelector, TasksForScarceTargetsCloseNoAllocatorForOthers) {
  const runs::TaskRequirements scarce{base::LabelId("b"), {}};
  runs::CapacityReport report = MakeReport("near", 18, 60);
  report.service_capacities[0].waiting_by_priority = {{base::Priority(0), TaskCount(60)}};
  report.service_capacities[0].mean_end_interval = std::chrono::milliseconds(100);
  report.service_capacities[0].blocked_tasks = {
      {scarce, TaskCount(6), {{base::Priority(0), TaskCount(60)}}}};
  this->selector.OnCapacityReport(HostId("near"), report);
  const auto choose = [this](const runs::TaskRequirements& requirements) {
    return this->selector.ChooseAllocatorWithoutFullBacklog(ServiceId("s"), TaskCount(2),
                                                            requirements, {});
  };
  const auto expected_wait = [this](const runs::TaskRequirements& requirements) {
    return *this->selector.ExpectedWait(ServiceId("s"), TaskCount(2), requirements,
                                        base::Priority(0));
  };
  CHECK(choose(runs::TaskRequirements()) == HostId("near"));
  CHECK_FALSE(choose(scarce).has_value());
  CHECK(expected_wait(runs::TaskRequirements()) == base::Duration(0));
  CHECK(expected_wait(scarce) > base::Duration(0));
}
