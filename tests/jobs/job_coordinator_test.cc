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

TEST_GROUP(JobCoordinator) {
  JobCoordinatorCluster cluster{3};

  void teardown() override {
    for (const std::string& violation : this->cluster.violations) {
      FAIL(violation.c_str());
    }
  }

  void FailOver(size_t host) {
    this->cluster.KillHost(host);
    this->cluster.DecideView();
    this->cluster.LearnAllViews();
  }
};

// Guards against a start before the backup has the start record, and against a result before the
// outcome is recorded.
TEST(JobCoordinator, RunsJobWithTwoRecords) {
  JobCoordinatorCluster::Call& call = this->cluster.SubmitToOwner(this->cluster.NewId());
  CHECK_FALSE(call.is_accepted);
  LONGS_EQUAL(1, this->cluster.messages.size());
  LONGS_EQUAL(0, this->cluster.pending_starts.size());
  this->cluster.DeliverAllMessages();
  CHECK(call.is_accepted);
  LONGS_EQUAL(2, this->cluster.pending_starts.size());
  this->cluster.RunTask(0);
  this->cluster.RunTask(0);
  this->cluster.DeliverMessage(0);
  this->cluster.DeliverMessage(0);
  LONGS_EQUAL(0, call.result_count);
  this->cluster.DeliverAllMessages();
  LONGS_EQUAL(1, call.result_count);
  CHECK(call.result.succeeded);
}

// Guards against a job that stops after the loss of a record, and against a repeated
// acknowledgement that starts tasks twice.
TEST(JobCoordinator, ResendsLostRecord) {
  JobCoordinatorCluster::Call& call = this->cluster.SubmitToOwner(this->cluster.NewId());
  this->cluster.DropMessage(0);
  this->cluster.AdvanceTime(milliseconds(60));
  this->cluster.DuplicateMessage(0);
  this->cluster.DeliverMessage(0);
  this->cluster.DeliverMessage(0);
  this->cluster.DeliverAllMessages();
  CHECK(call.is_accepted);
  LONGS_EQUAL(2, this->cluster.pending_starts.size());
}

// Guards against a job that ends with its owner's death although its backup has a copy, and against
// a second start of a task with a start record.
TEST(JobCoordinator, BackupFinishesJobOfDeadOwner) {
  SubmissionId id = this->cluster.NewId();
  size_t owner = this->cluster.OwnerOf(id);
  this->cluster.SubmitToOwner(id);
  this->cluster.DeliverAllMessages();
  this->FailOver(owner);
  JobCoordinatorCluster::Call& second_call = this->cluster.SubmitToOwner(id);
  LONGS_EQUAL(2, this->cluster.pending_starts.size());
  this->cluster.RunTask(0);
  this->cluster.RunTask(0);
  this->cluster.messages.clear();
  size_t successor = this->cluster.OwnerOf(id);
  this->cluster.QueueReport(this->cluster.reports[0], successor);
  this->cluster.QueueReport(this->cluster.reports[1], successor);
  this->cluster.AdvanceTime(seconds(1));
  this->cluster.DeliverAllMessages();
  CHECK(second_call.result.succeeded);
}

// Guards against waiting forever for results that were lost with the old owner.
TEST(JobCoordinator, FailsInheritedTasksWithoutResultAsMayHaveRun) {
  SubmissionId id = this->cluster.NewId();
  size_t owner = this->cluster.OwnerOf(id);
  this->cluster.SubmitToOwner(id);
  this->cluster.DeliverAllMessages();
  this->FailOver(owner);
  JobCoordinatorCluster::Call& second_call = this->cluster.SubmitToOwner(id);
  this->cluster.RunUntilSettled();
  LONGS_EQUAL(1, second_call.result_count);
  CHECK(second_call.result.error.verdict == ExecutionVerdict::kMayHaveRun);
}

// Guards against a second start if the start record reaches the backup only after its takeover.
TEST(JobCoordinator, BackupRejectsRecordOfOldEpoch) {
  SubmissionId id = this->cluster.NewId();
  size_t owner = this->cluster.OwnerOf(id);
  JobCoordinatorCluster::Call& call = this->cluster.SubmitToOwner(id);
  this->cluster.IsolateHost(owner);
  this->cluster.DecideView();
  this->cluster.LearnAllViews();
  this->cluster.HealHost(owner);
  JobCoordinatorCluster::Call& second_call = this->cluster.SubmitToOwner(id);
  this->cluster.DeliverAllMessages();
  CHECK(second_call.is_accepted);
  CHECK_FALSE(call.is_accepted);
  LONGS_EQUAL(2, this->cluster.pending_starts.size());
}

// Guards against starts and acceptances by a host whose view lease has expired.
TEST(JobCoordinator, HostWithoutLeaseStartsAndAcceptsNothing) {
  SubmissionId id = this->cluster.NewId();
  size_t owner = this->cluster.OwnerOf(id);
  this->cluster.SubmitToOwner(id);
  this->cluster.DeliverMessage(0);
  this->cluster.DecideView();
  this->cluster.AdvanceTime(seconds(2));
  this->cluster.DeliverMessage(0);
  LONGS_EQUAL(0, this->cluster.pending_starts.size());
  SubmissionId late_id = this->cluster.NewId();
  JobCoordinatorCluster::Call& rejected_call = this->cluster.Submit(owner, late_id);
  CHECK(rejected_call.result.error.code == ErrorCode::kUnavailable ||
        rejected_call.result.error.code == ErrorCode::kFenced);
  CHECK(rejected_call.result.error.verdict == ExecutionVerdict::kMayHaveRun);
}

// Guards against a repeated "not run" report that causes another placement while one may run.
TEST(JobCoordinator, RepeatedNotRunPlacesOnce) {
  SubmissionId id = this->cluster.NewId();
  this->cluster.SubmitToOwner(id, 1);
  this->cluster.DeliverAllMessages();
  this->cluster.RejectTask(0);
  this->cluster.DuplicateMessage(0);
  this->cluster.DeliverMessage(0);
  this->cluster.AdvanceTime(milliseconds(20));
  LONGS_EQUAL(1, this->cluster.pending_starts.size());
  LONGS_EQUAL(2, this->cluster.pending_starts[0].placement.value());
  this->cluster.DeliverMessage(0);
  this->cluster.AdvanceTime(milliseconds(20));
  LONGS_EQUAL(1, this->cluster.pending_starts.size());
}

// Guards against placing a task forever, and against a verdict other than "not run" if nothing ran.
TEST(JobCoordinator, FailsTaskThatIsAlwaysRejected) {
  JobCoordinatorCluster::Call& call = this->cluster.SubmitToOwner(this->cluster.NewId(), 1);
  this->cluster.DeliverAllMessages();
  while (!this->cluster.pending_starts.empty()) {
    this->cluster.RejectTask(0);
    this->cluster.DeliverAllMessages();
    this->cluster.AdvanceTime(milliseconds(100));
    this->cluster.DeliverAllMessages();
  }
  LONGS_EQUAL(1, call.result_count);
  CHECK(call.result.error.verdict == ExecutionVerdict::kNotRun);
  LONGS_EQUAL(5, this->cluster.reports.size());
}

// Guards against a failed task that leaves the result partial or the other tasks running.
TEST(JobCoordinator, FailedTaskFailsJobWithCorrectVerdicts) {
  JobCoordinatorSettings settings = JobCoordinatorCluster::Settings();
  settings.maximum_in_flight_tasks = 2;
  JobCoordinatorCluster narrow_cluster(3, settings);
  JobCoordinatorCluster::Call& call = narrow_cluster.SubmitToOwner(narrow_cluster.NewId(), 3);
  narrow_cluster.DeliverAllMessages();
  LONGS_EQUAL(2, narrow_cluster.pending_starts.size());
  narrow_cluster.RunTask(0, false);
  narrow_cluster.DeliverAllMessages();
  LONGS_EQUAL(1, call.result_count);
  CHECK(call.result.task_results[0].verdict == ExecutionVerdict::kRan);
  CHECK(call.result.task_results[1].verdict == ExecutionVerdict::kMayHaveRun);
  CHECK(call.result.task_results[2].verdict == ExecutionVerdict::kNotRun);
  LONGS_EQUAL(1, narrow_cluster.cancelled_task_count);
  LONGS_EQUAL(0, narrow_cluster.violations.size());
}

// Guards against running different content under a known id, and against running the same content
// twice.
TEST(JobCoordinator, ResubmissionJoinsAndOtherContentConflicts) {
  SubmissionId id = this->cluster.NewId();
  size_t owner = this->cluster.OwnerOf(id);
  this->cluster.SubmitToOwner(id);
  JobCoordinatorCluster::Call& joined_call = this->cluster.Submit(owner, id);
  JobCoordinatorCluster::Call& conflicting_call = this->cluster.Submit(owner, id, 2, "other");
  CHECK(conflicting_call.result.error.code == ErrorCode::kConflict);
  CHECK(conflicting_call.result.error.verdict == ExecutionVerdict::kNotRun);
  this->cluster.RunUntilSettled();
  CHECK(joined_call.result.succeeded);
  JobCoordinatorCluster::Call& late_call = this->cluster.Submit(owner, id);
  CHECK(late_call.result.succeeded);
}

// Guards against a second run by a resubmission after the record of its id was evicted.
TEST(JobCoordinator, EvictedIdIsExpired) {
  SubmissionId id = this->cluster.NewId();
  this->cluster.SubmitToOwner(id);
  this->cluster.RunUntilSettled();
  this->cluster.AdvanceTime(minutes(11));
  CHECK(this->cluster.hosts[0].job_coordinator->StatusOf(id).state == JobStatus::State::kUnknown);
  JobCoordinatorCluster::Call& late_call = this->cluster.SubmitToOwner(id);
  CHECK(late_call.result.error.code == ErrorCode::kExpired);
  CHECK(late_call.result.error.verdict == ExecutionVerdict::kMayHaveRun);
}

// Guards against a second run of an id that was evicted early because of `maximum_ended_jobs`.
TEST(JobCoordinator, IdEvictedEarlyIsExpired) {
  JobCoordinatorSettings settings = JobCoordinatorCluster::Settings();
  settings.maximum_ended_jobs = 2;
  JobCoordinatorCluster small_cluster(3, settings);
  SubmissionId id = small_cluster.NewId();
  size_t owner = small_cluster.OwnerOf(id);
  small_cluster.Submit(owner, id);
  small_cluster.RunUntilSettled();
  for (int i = 0; i < 20; ++i) {
    small_cluster.SubmitToOwner(small_cluster.NewId());
    small_cluster.RunUntilSettled();
  }
  JobCoordinatorCluster::Call& late_call = small_cluster.Submit(owner, id);
  CHECK(late_call.result.error.code == ErrorCode::kExpired);
  LONGS_EQUAL(0, small_cluster.violations.size());
}

// Guards against a second run of an id whose owner and backup were both lost.
TEST(JobCoordinator, IdOfTwoLostCopiesMayHaveRun) {
  JobCoordinatorCluster four_hosts(4);
  SubmissionId id = four_hosts.NewId();
  size_t owner = four_hosts.OwnerOf(id);
  size_t backup = four_hosts.BackupOf(id);
  four_hosts.SubmitToOwner(id);
  four_hosts.DeliverAllMessages();
  four_hosts.KillHost(owner);
  four_hosts.KillHost(backup);
  four_hosts.DecideView();
  four_hosts.LearnAllViews();
  JobCoordinatorCluster::Call& second_call = four_hosts.SubmitToOwner(id);
  four_hosts.DeliverAllMessages();
  CHECK(second_call.result.error.code == ErrorCode::kUnavailable);
  CHECK(second_call.result.error.verdict == ExecutionVerdict::kMayHaveRun);
  four_hosts.AdvanceTime(seconds(3));
  JobCoordinatorCluster::Call& new_call = four_hosts.SubmitToOwner(four_hosts.NewId());
  four_hosts.DeliverAllMessages();
  CHECK(new_call.is_accepted);
}

// Guards against a second acceptance of an id that was accepted under the old view, whose leases go
// on for a while after the new view is decided.
TEST(JobCoordinator, IdAcceptedUnderOldViewMayHaveRun) {
  JobCoordinatorCluster four_hosts(4);
  SubmissionId first_id = four_hosts.NewId();
  size_t owner = four_hosts.OwnerOf(first_id);
  size_t backup = four_hosts.BackupOf(first_id);
  four_hosts.IsolateHost(owner);
  four_hosts.IsolateHost(backup);
  four_hosts.DecideView();
  four_hosts.LearnAllViews();
  four_hosts.AdvanceTime(milliseconds(100));
  JobCoordinatorCluster::Call* old_call = nullptr;
  while (four_hosts.messages.empty() || four_hosts.messages[0].to != backup) {
    four_hosts.messages.clear();
    old_call = &four_hosts.Submit(owner, four_hosts.NewId());
  }
  four_hosts.DeliverAllMessages();
  CHECK(old_call->is_accepted);
  four_hosts.SubmitToOwner(old_call->id);
  four_hosts.DeliverAllMessages();
  LONGS_EQUAL(0, four_hosts.violations.size());
}

// Guards against a job that is lost when a second host dies after the job was copied again.
TEST(JobCoordinator, SurvivesSecondLossAfterCopyRenewal) {
  JobCoordinatorSettings settings = JobCoordinatorCluster::Settings();
  settings.maximum_in_flight_tasks = 1;
  JobCoordinatorCluster four_hosts(4, settings);
  SubmissionId id = four_hosts.NewId();
  four_hosts.SubmitToOwner(id, 2);
  four_hosts.DeliverAllMessages();
  four_hosts.RunTask(0);
  four_hosts.DeliverAllMessages();
  four_hosts.pending_starts.clear();
  for (int loss = 0; loss < 2; ++loss) {
    four_hosts.KillHost(four_hosts.OwnerOf(id));
    four_hosts.DecideView();
    four_hosts.LearnAllViews();
    four_hosts.DeliverAllMessages();
    CHECK(four_hosts.hosts[four_hosts.OwnerOf(id)].job_coordinator->StatusOf(id).state ==
          JobStatus::State::kRunning);
  }
}

// Guards against a job that is lost or started over when a host joins that is first in the id's
// order of preference, and against a joined host that rejects new ids.
TEST(JobCoordinator, JoiningHostLeavesJobWithItsOwner) {
  SubmissionId id = this->cluster.NewId();
  size_t first = this->cluster.OwnerOf(id);
  this->FailOver(first);
  this->cluster.AdvanceTime(seconds(3));
  JobCoordinatorCluster::Call& call = this->cluster.SubmitToOwner(id);
  this->cluster.DeliverAllMessages();
  this->cluster.RestartHost(first);
  this->cluster.DecideView();
  this->cluster.LearnAllViews();
  JobCoordinatorCluster::Call& early_call = this->cluster.Submit(first, id);
  JobCoordinatorCluster::Call& new_call = this->cluster.SubmitToOwner(this->cluster.NewId());
  this->cluster.DeliverAllMessages();
  CHECK(early_call.result.error.code == ErrorCode::kFenced);
  CHECK(early_call.result.error.verdict == ExecutionVerdict::kMayHaveRun);
  LONGS_EQUAL('a' + call.host, early_call.result.owner.value()[0]);
  CHECK(new_call.is_accepted);
  this->cluster.RunUntilSettled();
  CHECK(call.result.succeeded);
}

// Guards against a job that is lost with its owner just after another host joined.
TEST(JobCoordinator, SurvivesOwnerLossAfterJoin) {
  SubmissionId id = this->cluster.NewId();
  size_t first = this->cluster.OwnerOf(id);
  this->FailOver(first);
  this->cluster.SubmitToOwner(id);
  this->cluster.DeliverAllMessages();
  this->cluster.RestartHost(first);
  this->cluster.DecideView();
  this->cluster.LearnAllViews();
  this->FailOver(this->cluster.OwnerOf(id));
  CHECK(this->cluster.IsKnown(id));
}

// Guards against counting on jobs and copies at a host that lost them in a restart.
TEST(JobCoordinator, RestartWithoutNewViewRenewsCopies) {
  SubmissionId id = this->cluster.NewId();
  size_t owner = this->cluster.OwnerOf(id);
  this->cluster.SubmitToOwner(id);
  this->cluster.DeliverAllMessages();
  this->cluster.KillHost(owner);
  this->cluster.RestartHostInView(owner);
  CHECK(this->cluster.OwnerOf(id) != owner);
  JobCoordinatorCluster::Call& second_call = this->cluster.Submit(owner, id);
  this->cluster.DeliverAllMessages();
  CHECK(second_call.result.error.code == ErrorCode::kFenced);
  size_t successor = this->cluster.OwnerOf(id);
  this->cluster.KillHost(owner);
  this->cluster.RestartHostInView(owner);
  this->cluster.DeliverAllMessages();
  this->FailOver(successor);
  CHECK(this->cluster.IsKnown(id));
}

// Guards against acceptance without any copy, and against a rejection although a disk can hold one.
TEST(JobCoordinator, LastHostNeedsDisk) {
  this->cluster.KillHost(1);
  this->FailOver(2);
  this->cluster.AdvanceTime(seconds(3));
  JobCoordinatorCluster::Call& rejected_call = this->cluster.Submit(0, this->cluster.NewId());
  CHECK(rejected_call.result.error.code == ErrorCode::kUnavailable);
  CHECK(rejected_call.result.error.verdict == ExecutionVerdict::kNotRun);
  this->cluster.run_unreplicated = true;
  CHECK(this->cluster.Submit(0, this->cluster.NewId()).is_accepted);
  this->cluster.pending_starts.clear();
  std::vector<std::function<void(bool)>> write_callbacks;
  this->cluster.write_record_to_disk = [&](const auto&, std::function<void(bool)> on_written) {
    write_callbacks.push_back(std::move(on_written));
  };
  this->cluster.RestartHost(0);
  this->cluster.DecideView();
  this->cluster.LearnAllViews();
  this->cluster.AdvanceTime(seconds(3));
  JobCoordinatorCluster::Call& call = this->cluster.Submit(0, this->cluster.NewId());
  LONGS_EQUAL(0, this->cluster.pending_starts.size());
  write_callbacks[0](true);
  LONGS_EQUAL(2, this->cluster.pending_starts.size());
  JobCoordinatorCluster::Call& failed_call = this->cluster.Submit(0, this->cluster.NewId());
  write_callbacks[1](false);
  CHECK(failed_call.result.error.code == ErrorCode::kStorageFailed);
  CHECK(failed_call.result.error.verdict == ExecutionVerdict::kNotRun);
  CHECK(call.is_accepted);
}

// Guards against reporting "not run" for tasks that the backup may still start.
TEST(JobCoordinator, CancelWithoutRecordedOutcomeMayHaveRun) {
  SubmissionId id = this->cluster.NewId();
  JobCoordinatorCluster::Call& call = this->cluster.SubmitToOwner(id);
  CHECK(this->cluster.hosts[call.host].job_coordinator->CancelJob(id));
  CHECK_FALSE(this->cluster.hosts[call.host].job_coordinator->CancelJob(id));
  this->cluster.messages.clear();
  LONGS_EQUAL(0, call.result_count);
  this->cluster.AdvanceTime(seconds(3));
  LONGS_EQUAL(1, call.result_count);
  CHECK(call.result.error.verdict == ExecutionVerdict::kMayHaveRun);
}

// Guards against cancelling jobs of another team.
TEST(JobCoordinator, CancelTeamEndsOnlyItsJobs) {
  for (int i = 0; i < 20; ++i) {
    this->cluster.SubmitToOwner(this->cluster.NewId());
  }
  this->cluster.DeliverAllMessages();
  size_t cancelled_count = 0;
  for (JobCoordinatorCluster::Host& host : this->cluster.hosts) {
    cancelled_count += host.job_coordinator->CancelJobsOfTeam(TeamId("even"));
  }
  this->cluster.DeliverAllMessages();
  LONGS_EQUAL(10, cancelled_count);
  for (const JobCoordinatorCluster::Call& call : this->cluster.calls) {
    LONGS_EQUAL(call.id.value().back() % 2 == 0 ? 1 : 0, call.result_count);
  }
}

// Guards against a job that doesn't end at its deadline.
TEST(JobCoordinator, DeadlineEndsJob) {
  JobCoordinatorCluster::Call& call = this->cluster.SubmitToOwner(this->cluster.NewId());
  this->cluster.DeliverAllMessages();
  this->cluster.AdvanceTime(seconds(6));
  this->cluster.DeliverAllMessages();
  CHECK(call.result.error.code == ErrorCode::kDeadlineExceeded);
  CHECK(call.result.error.verdict == ExecutionVerdict::kMayHaveRun);
}
