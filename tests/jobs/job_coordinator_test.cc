#include "jobs/job_coordinator.h"

#include <CppUTest/TestHarness.h>

#include "tests/jobs/job_coordinator_cluster.h"

using sapphirecrank::base::Epoch;
using sapphirecrank::base::ErrorCode;
using sapphirecrank::base::ExecutionVerdict;
using sapphirecrank::base::SubmissionId;
using sapphirecrank::base::TeamId;
using sapphirecrank::jobs::JobCoordinatorCluster;
using sapphirecrank::jobs::JobCoordinatorSettings;
using sapphirecrank::jobs::JobStatus;
using sapphirecrank::jobs::TaskReport;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

TEST_GROUP(SubmissionLedger) {
  JobCoordinatorCluster cluster{3};

  void teardown() override {
    for (const std::string& violation : this->cluster.violations) {
      FAIL(violation.c_str());
    }
  }

  void FailOver(size_t host) {
    this->cluster.Kill(host);
    this->cluster.DecideView();
    this->cluster.LearnAll();
  }
};

// Guards against a start without a start record at the backup, and against an answer before the
// end is recorded.
TEST(SubmissionLedger, RunsJobWithTwoRecords) {
  JobCoordinatorCluster::Call& call = this->cluster.SubmitToOwner(this->cluster.NewId());
  CHECK_FALSE(call.accepted);
  LONGS_EQUAL(1, this->cluster.messages.size());
  LONGS_EQUAL(0, this->cluster.pending.size());
  this->cluster.DeliverAll();
  CHECK(call.accepted);
  LONGS_EQUAL(2, this->cluster.pending.size());
  this->cluster.Run(0);
  this->cluster.Run(0);
  this->cluster.Deliver(0);
  this->cluster.Deliver(0);
  LONGS_EQUAL(0, call.result_count);
  this->cluster.DeliverAll();
  LONGS_EQUAL(1, call.result_count);
  CHECK(call.result.succeeded);
}

// Guards against a lost record that stops a job, and a repeated acknowledgement that starts twice.
TEST(SubmissionLedger, SendsLostRecordAgain) {
  JobCoordinatorCluster::Call& call = this->cluster.SubmitToOwner(this->cluster.NewId());
  this->cluster.Drop(0);
  this->cluster.Advance(milliseconds(60));
  this->cluster.Duplicate(0);
  this->cluster.Deliver(0);
  this->cluster.Deliver(0);
  this->cluster.DeliverAll();
  CHECK(call.accepted);
  LONGS_EQUAL(2, this->cluster.pending.size());
}

// Guards against a job that stops with its owner's death although a copy lives, and against a
// second start of a task with a start record.
TEST(SubmissionLedger, BackupFinishesJobOfDeadOwner) {
  SubmissionId id = this->cluster.NewId();
  size_t owner = this->cluster.OwnerOf(id);
  this->cluster.SubmitToOwner(id);
  this->cluster.DeliverAll();
  this->FailOver(owner);
  JobCoordinatorCluster::Call& again = this->cluster.SubmitToOwner(id);
  LONGS_EQUAL(2, this->cluster.pending.size());
  this->cluster.Run(0);
  this->cluster.Run(0);
  this->cluster.messages.clear();
  size_t successor = this->cluster.OwnerOf(id);
  this->cluster.Report(this->cluster.reports[0], successor);
  this->cluster.Report(this->cluster.reports[1], successor);
  this->cluster.Advance(seconds(1));
  this->cluster.DeliverAll();
  CHECK(again.result.succeeded);
}

// Guards against a wait without end for results that died with the old owner.
TEST(SubmissionLedger, FailsInheritedStartsWithoutResultAsMayHaveRun) {
  SubmissionId id = this->cluster.NewId();
  size_t owner = this->cluster.OwnerOf(id);
  this->cluster.SubmitToOwner(id);
  this->cluster.DeliverAll();
  this->FailOver(owner);
  JobCoordinatorCluster::Call& again = this->cluster.SubmitToOwner(id);
  this->cluster.Settle();
  LONGS_EQUAL(1, again.result_count);
  CHECK(again.result.error.verdict == ExecutionVerdict::kMayHaveRun);
}

// Guards against a second start when the start record reaches the backup only after it took over.
TEST(SubmissionLedger, BackupRefusesRecordOfOldEpoch) {
  SubmissionId id = this->cluster.NewId();
  size_t owner = this->cluster.OwnerOf(id);
  JobCoordinatorCluster::Call& call = this->cluster.SubmitToOwner(id);
  this->cluster.Isolate(owner);
  this->cluster.DecideView();
  this->cluster.LearnAll();
  this->cluster.Heal(owner);
  JobCoordinatorCluster::Call& again = this->cluster.SubmitToOwner(id);
  this->cluster.DeliverAll();
  CHECK(again.accepted);
  CHECK_FALSE(call.accepted);
  LONGS_EQUAL(2, this->cluster.pending.size());
}

// Guards against starts of a host whose view lease has ended.
TEST(SubmissionLedger, HostWithoutLeaseStartsAndAcceptsNothing) {
  SubmissionId id = this->cluster.NewId();
  size_t owner = this->cluster.OwnerOf(id);
  this->cluster.SubmitToOwner(id);
  this->cluster.Deliver(0);
  this->cluster.DecideView();
  this->cluster.Advance(seconds(2));
  this->cluster.Deliver(0);
  LONGS_EQUAL(0, this->cluster.pending.size());
  SubmissionId late = this->cluster.NewId();
  JobCoordinatorCluster::Call& refused = this->cluster.Submit(owner, late);
  CHECK(refused.result.error.code == ErrorCode::kUnavailable ||
        refused.result.error.code == ErrorCode::kFenced);
  CHECK(refused.result.error.verdict == ExecutionVerdict::kMayHaveRun);
}

// Guards against a repeated "not run" that leads to a further placement while one is alive.
TEST(SubmissionLedger, RepeatedNotRunPlacesOnce) {
  SubmissionId id = this->cluster.NewId();
  this->cluster.SubmitToOwner(id, 1);
  this->cluster.DeliverAll();
  this->cluster.Refuse(0);
  this->cluster.Duplicate(0);
  this->cluster.Deliver(0);
  this->cluster.Advance(milliseconds(20));
  LONGS_EQUAL(1, this->cluster.pending.size());
  LONGS_EQUAL(2, this->cluster.pending[0].placement.value());
  this->cluster.Deliver(0);
  this->cluster.Advance(milliseconds(20));
  LONGS_EQUAL(1, this->cluster.pending.size());
}

// Guards against placing for ever, and against another verdict than "not run" when nothing ran.
TEST(SubmissionLedger, FailsTaskThatIsNeverTaken) {
  JobCoordinatorCluster::Call& call = this->cluster.SubmitToOwner(this->cluster.NewId(), 1);
  this->cluster.DeliverAll();
  while (!this->cluster.pending.empty()) {
    this->cluster.Refuse(0);
    this->cluster.DeliverAll();
    this->cluster.Advance(milliseconds(100));
    this->cluster.DeliverAll();
  }
  LONGS_EQUAL(1, call.result_count);
  CHECK(call.result.error.verdict == ExecutionVerdict::kNotRun);
  LONGS_EQUAL(5, this->cluster.reports.size());
}

// Guards against a failed task that leaves the answer partial or the other tasks running.
TEST(SubmissionLedger, FailedTaskFailsJobWithTrueVerdicts) {
  JobCoordinatorSettings settings = JobCoordinatorCluster::Settings();
  settings.maximum_in_flight_tasks = 2;
  JobCoordinatorCluster narrow(3, settings);
  JobCoordinatorCluster::Call& call = narrow.SubmitToOwner(narrow.NewId(), 3);
  narrow.DeliverAll();
  LONGS_EQUAL(2, narrow.pending.size());
  narrow.Run(0, false);
  narrow.DeliverAll();
  LONGS_EQUAL(1, call.result_count);
  CHECK(call.result.task_results[0].verdict == ExecutionVerdict::kRan);
  CHECK(call.result.task_results[1].verdict == ExecutionVerdict::kMayHaveRun);
  CHECK(call.result.task_results[2].verdict == ExecutionVerdict::kNotRun);
  LONGS_EQUAL(1, narrow.cancels);
  LONGS_EQUAL(0, narrow.violations.size());
}

// Guards against running other content under a known id, and against a second run of the same.
TEST(SubmissionLedger, ResubmissionJoinsAndOtherContentConflicts) {
  SubmissionId id = this->cluster.NewId();
  size_t owner = this->cluster.OwnerOf(id);
  this->cluster.SubmitToOwner(id);
  JobCoordinatorCluster::Call& joined = this->cluster.Submit(owner, id);
  JobCoordinatorCluster::Call& other = this->cluster.Submit(owner, id, 2, "other");
  CHECK(other.result.error.code == ErrorCode::kConflict);
  CHECK(other.result.error.verdict == ExecutionVerdict::kNotRun);
  this->cluster.Settle();
  CHECK(joined.result.succeeded);
  JobCoordinatorCluster::Call& late = this->cluster.Submit(owner, id);
  CHECK(late.result.succeeded);
}

// Guards against a second run by a resubmission after everything about the id was forgotten.
TEST(SubmissionLedger, ForgottenIdIsExpired) {
  SubmissionId id = this->cluster.NewId();
  this->cluster.SubmitToOwner(id);
  this->cluster.Settle();
  this->cluster.Advance(minutes(11));
  CHECK(this->cluster.hosts[0].job_coordinator->StatusOf(id).state == JobStatus::State::kUnknown);
  JobCoordinatorCluster::Call& late = this->cluster.SubmitToOwner(id);
  CHECK(late.result.error.code == ErrorCode::kExpired);
  CHECK(late.result.error.verdict == ExecutionVerdict::kMayHaveRun);
}

// Guards against a second run of an id that was forgotten early because of the bound.
TEST(SubmissionLedger, IdForgottenEarlyIsExpired) {
  JobCoordinatorSettings settings = JobCoordinatorCluster::Settings();
  settings.maximum_ended_jobs = 2;
  JobCoordinatorCluster small(3, settings);
  SubmissionId id = small.NewId();
  size_t owner = small.OwnerOf(id);
  small.Submit(owner, id);
  small.Settle();
  for (int i = 0; i < 20; ++i) {
    small.SubmitToOwner(small.NewId());
    small.Settle();
  }
  JobCoordinatorCluster::Call& late = small.Submit(owner, id);
  CHECK(late.result.error.code == ErrorCode::kExpired);
  LONGS_EQUAL(0, small.violations.size());
}

// Guards against a new run of an id whose two copies were lost.
TEST(SubmissionLedger, IdOfTwoLostCopiesMayHaveRun) {
  JobCoordinatorCluster four(4);
  SubmissionId id = four.NewId();
  size_t owner = four.OwnerOf(id);
  size_t backup = four.BackupOf(id);
  four.SubmitToOwner(id);
  four.DeliverAll();
  four.Kill(owner);
  four.Kill(backup);
  four.DecideView();
  four.LearnAll();
  JobCoordinatorCluster::Call& again = four.SubmitToOwner(id);
  four.DeliverAll();
  CHECK(again.result.error.code == ErrorCode::kUnavailable);
  CHECK(again.result.error.verdict == ExecutionVerdict::kMayHaveRun);
  four.Advance(seconds(3));
  JobCoordinatorCluster::Call& fresh = four.SubmitToOwner(four.NewId());
  four.DeliverAll();
  CHECK(fresh.accepted);
}

// Guards against a second acceptance of an id that was accepted under the old view, whose leases
// run on for a while after the new view.
TEST(SubmissionLedger, IdAcceptedUnderOldViewMayHaveRun) {
  JobCoordinatorCluster four(4);
  SubmissionId probe = four.NewId();
  size_t owner = four.OwnerOf(probe);
  size_t backup = four.BackupOf(probe);
  four.Isolate(owner);
  four.Isolate(backup);
  four.DecideView();
  four.LearnAll();
  four.Advance(milliseconds(100));
  JobCoordinatorCluster::Call* old = nullptr;
  while (four.messages.empty() || four.messages[0].to != backup) {
    four.messages.clear();
    old = &four.Submit(owner, four.NewId());
  }
  four.DeliverAll();
  CHECK(old->accepted);
  four.SubmitToOwner(old->id);
  four.DeliverAll();
  LONGS_EQUAL(0, four.violations.size());
}

// Guards against a job lost to a second host's death after the repair of the first one.
TEST(SubmissionLedger, SurvivesSecondLossAfterRepair) {
  JobCoordinatorSettings settings = JobCoordinatorCluster::Settings();
  settings.maximum_in_flight_tasks = 1;
  JobCoordinatorCluster four(4, settings);
  SubmissionId id = four.NewId();
  four.SubmitToOwner(id, 2);
  four.DeliverAll();
  four.Run(0);
  four.DeliverAll();
  four.pending.clear();
  for (int loss = 0; loss < 2; ++loss) {
    four.Kill(four.OwnerOf(id));
    four.DecideView();
    four.LearnAll();
    four.DeliverAll();
    CHECK(four.hosts[four.OwnerOf(id)].job_coordinator->StatusOf(id).state ==
          JobStatus::State::kRunning);
  }
}

// Guards against a job that is lost or started anew when a host that comes first in the id's order
// joins, and against a joined host that refuses new ids.
TEST(SubmissionLedger, JoiningHostLeavesJobWithItsOwner) {
  SubmissionId id = this->cluster.NewId();
  size_t first = this->cluster.OwnerOf(id);
  this->FailOver(first);
  this->cluster.Advance(seconds(3));
  JobCoordinatorCluster::Call& call = this->cluster.SubmitToOwner(id);
  this->cluster.DeliverAll();
  this->cluster.Restart(first);
  this->cluster.DecideView();
  this->cluster.LearnAll();
  JobCoordinatorCluster::Call& early = this->cluster.Submit(first, id);
  JobCoordinatorCluster::Call& fresh = this->cluster.SubmitToOwner(this->cluster.NewId());
  this->cluster.DeliverAll();
  CHECK(early.result.error.code == ErrorCode::kFenced);
  CHECK(early.result.error.verdict == ExecutionVerdict::kMayHaveRun);
  LONGS_EQUAL('a' + call.host, early.result.owner.value()[0]);
  CHECK(fresh.accepted);
  this->cluster.Settle();
  CHECK(call.result.succeeded);
}

// Guards against a job lost with its owner just after another host joined.
TEST(SubmissionLedger, SurvivesOwnerLossAfterJoin) {
  SubmissionId id = this->cluster.NewId();
  size_t first = this->cluster.OwnerOf(id);
  this->FailOver(first);
  this->cluster.SubmitToOwner(id);
  this->cluster.DeliverAll();
  this->cluster.Restart(first);
  this->cluster.DecideView();
  this->cluster.LearnAll();
  this->FailOver(this->cluster.OwnerOf(id));
  CHECK(this->cluster.IsKnown(id));
}

// Guards against jobs and copies that are taken for held by a host that has lost them.
TEST(SubmissionLedger, RestartWithoutNewViewRenewsCopies) {
  SubmissionId id = this->cluster.NewId();
  size_t owner = this->cluster.OwnerOf(id);
  this->cluster.SubmitToOwner(id);
  this->cluster.DeliverAll();
  this->cluster.Kill(owner);
  this->cluster.RestartInView(owner);
  CHECK(this->cluster.OwnerOf(id) != owner);
  JobCoordinatorCluster::Call& again = this->cluster.Submit(owner, id);
  this->cluster.DeliverAll();
  CHECK(again.result.error.code == ErrorCode::kFenced);
  size_t successor = this->cluster.OwnerOf(id);
  this->cluster.Kill(owner);
  this->cluster.RestartInView(owner);
  this->cluster.DeliverAll();
  this->FailOver(successor);
  CHECK(this->cluster.IsKnown(id));
}

// Guards against acceptance without any copy, and against a refusal although a disk holds one.
TEST(SubmissionLedger, LastHostNeedsDisk) {
  this->cluster.Kill(1);
  this->FailOver(2);
  this->cluster.Advance(seconds(3));
  JobCoordinatorCluster::Call& refused = this->cluster.Submit(0, this->cluster.NewId());
  CHECK(refused.result.error.code == ErrorCode::kUnavailable);
  CHECK(refused.result.error.verdict == ExecutionVerdict::kNotRun);
  this->cluster.run_unreplicated = true;
  CHECK(this->cluster.Submit(0, this->cluster.NewId()).accepted);
  this->cluster.pending.clear();
  std::vector<std::function<void(bool)>> writes;
  this->cluster.write_disk = [&](const auto&, std::function<void(bool)> done) {
    writes.push_back(std::move(done));
  };
  this->cluster.Restart(0);
  this->cluster.DecideView();
  this->cluster.LearnAll();
  this->cluster.Advance(seconds(3));
  JobCoordinatorCluster::Call& call = this->cluster.Submit(0, this->cluster.NewId());
  LONGS_EQUAL(0, this->cluster.pending.size());
  writes[0](true);
  LONGS_EQUAL(2, this->cluster.pending.size());
  JobCoordinatorCluster::Call& failed = this->cluster.Submit(0, this->cluster.NewId());
  writes[1](false);
  CHECK(failed.result.error.code == ErrorCode::kStorageFailed);
  CHECK(failed.result.error.verdict == ExecutionVerdict::kNotRun);
  CHECK(call.accepted);
}

// Guards against "not run" for tasks that the backup may still start.
TEST(SubmissionLedger, CancelWithoutRecordedEndMayHaveRun) {
  SubmissionId id = this->cluster.NewId();
  JobCoordinatorCluster::Call& call = this->cluster.SubmitToOwner(id);
  CHECK(this->cluster.hosts[call.host].job_coordinator->CancelJob(id));
  CHECK_FALSE(this->cluster.hosts[call.host].job_coordinator->CancelJob(id));
  this->cluster.messages.clear();
  LONGS_EQUAL(0, call.result_count);
  this->cluster.Advance(seconds(3));
  LONGS_EQUAL(1, call.result_count);
  CHECK(call.result.error.verdict == ExecutionVerdict::kMayHaveRun);
}

// Guards against cancelling another team's jobs.
TEST(SubmissionLedger, CancelTeamEndsOnlyItsJobs) {
  for (int i = 0; i < 20; ++i) {
    this->cluster.SubmitToOwner(this->cluster.NewId());
  }
  this->cluster.DeliverAll();
  size_t cancelled = 0;
  for (JobCoordinatorCluster::Host& host : this->cluster.hosts) {
    cancelled += host.job_coordinator->CancelJobsOfTeam(TeamId("even"));
  }
  this->cluster.DeliverAll();
  LONGS_EQUAL(10, cancelled);
  for (const JobCoordinatorCluster::Call& call : this->cluster.calls) {
    LONGS_EQUAL(call.id.value().back() % 2 == 0 ? 1 : 0, call.result_count);
  }
}

// Guards against a job that outlives its deadline.
TEST(SubmissionLedger, DeadlineEndsJob) {
  JobCoordinatorCluster::Call& call = this->cluster.SubmitToOwner(this->cluster.NewId());
  this->cluster.DeliverAll();
  this->cluster.Advance(seconds(6));
  this->cluster.DeliverAll();
  CHECK(call.result.error.code == ErrorCode::kDeadlineExceeded);
  CHECK(call.result.error.verdict == ExecutionVerdict::kMayHaveRun);
}
