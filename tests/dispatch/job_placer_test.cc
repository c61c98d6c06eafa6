#include "dispatch/job_placer.h"

#include <CppUTest/TestHarness.h>

#include <memory>
#include <vector>

#include "jobs/submission.h"

using namespace sapphirecrank;  // NOLINT(google-build-using-namespace)
using base::ExecutionVerdict;
using base::HostId;
using dispatch::Assignment;
using dispatch::JobPlacer;

TEST_GROUP(JobPlacer) {
  bool can_assign = true;
  base::SlotCount slots{4};
  std::vector<std::pair<HostId, Assignment>> assigned;
  std::vector<jobs::TaskReport> reports;
  JobPlacer placer{{[this](base::TargetKind) {
                      scheduling::LoadSummary load;
                      load.free_slots = this->slots;
                      load.total_slots = this->slots;
                      return std::vector<dispatch::HostLoad>{{HostId("a"), load}};
                    },
                    [this](const HostId& host, const std::vector<Assignment>& assignments) {
                      for (const Assignment& assignment : assignments) {
                        this->assigned.emplace_back(host, assignment);
                      }
                      return this->can_assign;
                    },
                    [](const HostId&, const base::SubmissionId&) {},
                    [this](const jobs::TaskReport& report) { this->reports.push_back(report); }}};

  void PlaceOneTask() {
    auto submission = std::make_shared<jobs::Submission>();
    submission->id = base::SubmissionId("ba:1-1");
    submission->tasks.resize(1);
    jobs::TaskStart start;
    start.epoch = base::Epoch(7);
    start.key = {submission->id, base::TaskIndex(0)};
    start.placement = base::PlacementNumber(2);
    start.submission = submission;
    this->placer.PlaceTasks({start});
  }

  dispatch::TaskReport MakeReport(uint32_t placement_number) const {
    dispatch::TaskReport report;
    report.key = {base::SubmissionId("ba:1-1"), base::TaskIndex(0)};
    report.placement = base::PlacementNumber(placement_number);
    report.verdict = ExecutionVerdict::kRan;
    report.succeeded = true;
    return report;
  }
};

// Guards against a report that is lost, accepted twice, or accepted for another placement or host.
TEST(JobPlacer, OpenPlacementIsReportedExactlyOnce) {
  this->PlaceOneTask();
  LONGS_EQUAL(1, this->assigned.size());
  CHECK_FALSE(this->placer.OnReport(HostId("a"), this->MakeReport(1)));
  CHECK_FALSE(this->placer.OnReport(HostId("b"), this->MakeReport(2)));
  CHECK_TRUE(this->placer.OnReport(HostId("a"), this->MakeReport(2)));
  CHECK_FALSE(this->placer.OnReport(HostId("a"), this->MakeReport(2)));
  LONGS_EQUAL(1, this->reports.size());
  LONGS_EQUAL(7, this->reports[0].epoch.value());
}

// Guards against the verdict "may have run" for a task that was not sent to its host, and for one
// that no host has slots for.
TEST(JobPlacer, TaskThatIsNotAssignedIsNotRun) {
  this->can_assign = false;
  this->PlaceOneTask();
  this->slots = base::SlotCount(0);
  this->PlaceOneTask();
  LONGS_EQUAL(2, this->reports.size());
  CHECK(this->reports[0].verdict == ExecutionVerdict::kNotRun);
  CHECK(this->reports[1].verdict == ExecutionVerdict::kNotRun);
}

// Guards against an incorrect "not run", and against a job that waits for a lost host forever.
TEST(JobPlacer, TaskOnALostHostMayHaveRun) {
  this->PlaceOneTask();
  this->placer.OnHostLost(HostId("a"));
  LONGS_EQUAL(1, this->reports.size());
  CHECK(this->reports[0].verdict == ExecutionVerdict::kMayHaveRun);
  CHECK_FALSE(this->placer.OnReport(HostId("a"), this->MakeReport(2)));
}
