#include "stored/job_state_machine.h"

#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

#include "storage/byte_reader.h"
#include "stored/job_codec.h"

using namespace sapphirecrank;  // NOLINT(google-build-using-namespace)
using stored::JobCommand;
using stored::StoredJob;

TEST_GROUP(JobStateMachine) {
  std::vector<base::SubmissionId> changed_jobs;
  stored::JobStateMachine jobs{[this](const std::vector<base::SubmissionId>& ids) {
    this->changed_jobs.insert(this->changed_jobs.end(), ids.begin(), ids.end());
  }};

  static gateway::Job MakeJob(const char* id) {
    gateway::Job job;
    job.id = base::SubmissionId(id);
    job.queue = base::QueueId("q");
    job.service = base::ServiceId("s");
    job.priority = base::Priority(2);
    job.maximum_attempts = base::AttemptCount(2);
    job.maximum_slowdown = 1.6;
    job.payload = std::string("\x00\xff", 2);
    gateway::JobStep first;
    first.task_count = base::TaskCount(2);
    first.required_resources = {base::MilliCores(500), base::ByteCount(7),
                                base::AcceleratorCount(1)};
    first.placement_rule = {base::LabelId("b"), base::TaskCount(3)};
    first.is_long_running = std::string(id) == "lasting";
    gateway::JobStep second = first;
    second.task_count = base::TaskCount(1);
    second.dependencies = {base::StepIndex(0)};
    job.steps = {first, second};
    return job;
  }

  void Apply(JobCommand command) { this->jobs.Apply(command.Encode()); }
  void Submit(const char* id) { this->Apply({JobCommand::Submit{MakeJob(id)}}); }

  void RecordOutcome(const char* id, uint32_t step, uint32_t index, uint32_t run,
                     bool has_succeeded) {
    stored::TaskOutcome outcome;
    outcome.key = {{base::SubmissionId(id), base::OccurrenceNumber(), base::StepIndex(step),
                    base::TaskIndex(index)},
                   base::RunNumber(run)};
    outcome.has_succeeded = has_succeeded;
    this->Apply({JobCommand::RecordOutcomes{{outcome}}});
  }

  void SupersedeRuns(const char* id, uint32_t step, uint32_t index, uint32_t lowest_valid_run) {
    this->Apply({JobCommand::SupersedeRuns{{{{base::SubmissionId(id), base::OccurrenceNumber(),
                                              base::StepIndex(step), base::TaskIndex(index)},
                                             base::RunNumber(lowest_valid_run)}}}});
  }

  StoredJob::Phase PhaseOf(const char* id) {
    return this->jobs.WithJob(base::SubmissionId(id),
                              [](const StoredJob* stored) { return stored->phase; });
  }

  bool IsStored(const char* id) {
    return this->jobs.WithJob(base::SubmissionId(id),
                              [](const StoredJob* stored) { return stored != nullptr; });
  }
};

// Guards against a resubmission that starts the job over and loses its recorded outcomes.
TEST(JobStateMachine, ResubmissionChangesNothing) {
  this->Submit("a");
  this->RecordOutcome("a", 0, 0, 1, true);
  this->changed_jobs.clear();
  this->Submit("a");
  LONGS_EQUAL(0, this->changed_jobs.size());
  this->jobs.WithJob(base::SubmissionId("a"), [](const StoredJob* stored) {
    CHECK(stored->steps[0][0].successful_run == base::RunNumber(1));
  });
}

// Guards against a job that counts as completed before all its tasks have succeeded.
TEST(JobStateMachine, CompletesOnceAllTasksOfAllStepsAreDone) {
  this->Submit("a");
  this->RecordOutcome("a", 0, 0, 1, true);
  this->RecordOutcome("a", 0, 0, 2, true);
  this->RecordOutcome("a", 0, 1, 1, true);
  CHECK(this->PhaseOf("a") == StoredJob::Phase::kOpen);
  this->RecordOutcome("a", 1, 0, 1, true);
  CHECK(this->PhaseOf("a") == StoredJob::Phase::kCompleted);
}

// Guards against repeated outcomes of one run that use up the attempts of a task.
TEST(JobStateMachine, CountsEachFailedRunOnce) {
  this->Submit("a");
  this->RecordOutcome("a", 0, 0, 1, false);
  this->RecordOutcome("a", 0, 0, 1, false);
  CHECK(this->PhaseOf("a") == StoredJob::Phase::kOpen);
  this->RecordOutcome("a", 0, 0, 2, false);
  CHECK(this->PhaseOf("a") == StoredJob::Phase::kFailed);
}

// Guards against a cancelled job that becomes completed, and against payloads that stay in memory
// after their jobs have ended.
TEST(JobStateMachine, CancelledJobsStayCancelledAndReleaseTheirPayload) {
  this->Submit("a");
  LONGS_EQUAL(2, this->jobs.PayloadBytes().value());
  this->Apply({JobCommand::Cancel{base::SubmissionId("a")}});
  this->RecordOutcome("a", 0, 0, 1, true);
  this->RecordOutcome("a", 0, 1, 1, true);
  this->RecordOutcome("a", 1, 0, 1, true);
  CHECK(this->PhaseOf("a") == StoredJob::Phase::kCancelled);
  LONGS_EQUAL(0, this->jobs.PayloadBytes().value());
}

// Guards against the removal of an open job, and against records that are never removed.
TEST(JobStateMachine, RemovesRecordsOfEndedJobsOnly) {
  this->Submit("a");
  this->Submit("b");
  this->Apply({JobCommand::Cancel{base::SubmissionId("a")}});
  this->Apply({JobCommand::RemoveRecords{{base::SubmissionId("a"), base::SubmissionId("b")}}});
  CHECK_FALSE(this->IsStored("a"));
  CHECK_TRUE(this->IsStored("b"));
}

// Guards against a host that restores a job from a snapshot and runs it with other requirements, or
// runs tasks again that have succeeded.
TEST(JobStateMachine, SnapshotsKeepJobsAndTaskOutcomes) {
  this->Submit("a");
  this->RecordOutcome("a", 0, 1, 3, true);
  this->RecordOutcome("a", 0, 0, 2, false);
  this->Submit("lasting");
  stored::JobStateMachine restored_jobs{[](const std::vector<base::SubmissionId>& /*ids*/) {}};
  restored_jobs.Restore(this->jobs.TakeSnapshot());
  LONGS_EQUAL(4, restored_jobs.PayloadBytes().value());
  restored_jobs.WithJob(base::SubmissionId("lasting"), [](const StoredJob* stored) {
    CHECK_TRUE(stored->job.steps[0].is_long_running);
  });
  restored_jobs.WithJob(base::SubmissionId("a"), [](const StoredJob* stored) {
    CHECK(stored->phase == StoredJob::Phase::kOpen);
    CHECK(stored->job.payload == std::string("\x00\xff", 2));
    CHECK(stored->job.queue == base::QueueId("q"));
    CHECK(stored->job.maximum_attempts == base::AttemptCount(2));
    DOUBLES_EQUAL(1.6, stored->job.maximum_slowdown, 0);
    CHECK(stored->job.steps[0].required_resources == MakeJob("a").steps[0].required_resources);
    CHECK(stored->job.steps[0].placement_rule.required_label == base::LabelId("b"));
    CHECK(stored->job.steps[0].placement_rule.maximum_tasks_per_target == base::TaskCount(3));
    CHECK_FALSE(stored->job.steps[0].is_long_running);
    CHECK(stored->job.steps[1].dependencies[0] == base::StepIndex(0));
    CHECK(stored->steps[0][1].successful_run == base::RunNumber(3));
    CHECK(stored->steps[0][0].failed_runs[0] == base::RunNumber(2));
  });
  restored_jobs.Restore("");
  CHECK_FALSE(restored_jobs.WithJob(base::SubmissionId("a"),
                                    [](const StoredJob* stored) { return stored != nullptr; }));
}

// Guards against a task that counts as done by a run that was given up before the task was started
// again, and against failures of such runs that use up its attempts.
TEST(JobStateMachine, OutcomesOfSupersededRunsDoNotCount) {
  this->Submit("a");
  this->SupersedeRuns("a", 0, 0, 65);
  this->SupersedeRuns("a", 0, 0, 33);
  this->RecordOutcome("a", 0, 0, 64, true);
  this->RecordOutcome("a", 0, 0, 63, false);
  this->RecordOutcome("a", 0, 0, 62, false);
  this->jobs.WithJob(base::SubmissionId("a"), [](const StoredJob* stored) {
    CHECK_FALSE(stored->steps[0][0].successful_run.has_value());
    CHECK(stored->steps[0][0].failed_runs.empty());
    CHECK(stored->steps[0][0].lowest_valid_run == base::RunNumber(65));
  });
  this->RecordOutcome("a", 0, 0, 65, true);
  this->SupersedeRuns("a", 0, 0, 129);
  this->jobs.WithJob(base::SubmissionId("a"), [](const StoredJob* stored) {
    CHECK(stored->steps[0][0].successful_run == base::RunNumber(65));
  });
}

// Guards against a host that counts the end of a superseded run after it has restored a snapshot.
TEST(JobStateMachine, SnapshotsKeepSupersededRuns) {
  this->Submit("a");
  this->Submit("b");
  this->SupersedeRuns("a", 1, 0, 65);
  stored::JobStateMachine restored_jobs{[](const std::vector<base::SubmissionId>& /*ids*/) {}};
  restored_jobs.Restore(this->jobs.TakeSnapshot());
  restored_jobs.WithJob(base::SubmissionId("a"), [](const StoredJob* stored) {
    CHECK(stored->steps[1][0].lowest_valid_run == base::RunNumber(65));
    CHECK(stored->steps[0][0].lowest_valid_run == base::RunNumber());
  });
  CHECK(restored_jobs.TakeSnapshot() == this->jobs.TakeSnapshot());
}

// Guards against a host of an earlier program version that loses jobs, or makes up some, when it
// restores a snapshot with superseded runs: it reads jobs until one is truncated.
TEST(JobStateMachine, EarlierVersionsReadAllJobsOfASnapshotWithSupersededRuns) {
  this->Submit("a");
  this->Submit("b");
  this->SupersedeRuns("a", 1, 0, 65);
  const std::string snapshot = this->jobs.TakeSnapshot();
  storage::ByteReader reader(snapshot);
  CHECK(stored::ReadStoredJob(reader).job.id == base::SubmissionId("a"));
  CHECK(stored::ReadStoredJob(reader).job.id == base::SubmissionId("b"));
  CHECK_TRUE(reader.ok());
  CHECK(reader.remaining_size() > 0);
  stored::ReadStoredJob(reader);
  CHECK_FALSE(reader.ok());
}

// Guards against a crash on a log entry that is truncated or of a later version.
TEST(JobStateMachine, IgnoresInvalidCommands) {
  const std::string command = JobCommand{JobCommand::Submit{MakeJob("a")}}.Encode();
  for (size_t size = 0; size < command.size(); ++size) {
    this->jobs.Apply(command.substr(0, size));
  }
  this->jobs.Apply("?");
  LONGS_EQUAL(0, this->changed_jobs.size());
  this->RecordOutcome("unknown", 0, 0, 1, true);
  this->Submit("a");
  this->RecordOutcome("a", 7, 0, 1, true);
  this->RecordOutcome("a", 0, 9, 1, true);
  LONGS_EQUAL(1, this->changed_jobs.size());
}
