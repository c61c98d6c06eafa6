#include "stored/job_state_machine.h"

#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

using namespace sapphirecrank;  // NOLINT(google-build-using-namespace)
using stored::JobCommand;
using stored::StoredJob;

TEST_GROUP(JobRegister) {
  std::vector<base::SubmissionId> changed;
  stored::JobStateMachine jobs{[this](const std::vector<base::SubmissionId>& ids) {
    this->changed.insert(this->changed.end(), ids.begin(), ids.end());
  }};

  static gateway::Job Job(const char* id) {
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
  void Submit(const char* id) { this->Apply({JobCommand::Submit{Job(id)}}); }

  void Note(const char* id, uint32_t step, uint32_t index, uint32_t run, bool is_done) {
    stored::TaskOutcome outcome;
    outcome.key = {{base::SubmissionId(id), base::OccurrenceNumber(), base::StepIndex(step),
                    base::TaskIndex(index)},
                   base::RunNumber(run)};
    outcome.has_succeeded = is_done;
    this->Apply({JobCommand::RecordOutcomes{{outcome}}});
  }

  StoredJob::Phase PhaseOf(const char* id) {
    return this->jobs.WithJob(base::SubmissionId(id),
                              [](const StoredJob* stored) { return stored->phase; });
  }

  bool Has(const char* id) {
    return this->jobs.WithJob(base::SubmissionId(id),
                              [](const StoredJob* stored) { return stored != nullptr; });
  }
};

// Guards against a resubmission that begins a job anew and loses what is done of it.
TEST(JobRegister, TheSameIdAgainChangesNothing) {
  this->Submit("a");
  this->Note("a", 0, 0, 1, true);
  this->changed.clear();
  this->Submit("a");
  LONGS_EQUAL(0, this->changed.size());
  this->jobs.WithJob(base::SubmissionId("a"), [](const StoredJob* stored) {
    CHECK(stored->steps[0][0].successful_run == base::RunNumber(1));
  });
}

// Guards against a job that is shown as completed while a task has not ended.
TEST(JobRegister, CompletesOnceAllTasksOfAllStepsAreDone) {
  this->Submit("a");
  this->Note("a", 0, 0, 1, true);
  this->Note("a", 0, 0, 2, true);
  this->Note("a", 0, 1, 1, true);
  CHECK(this->PhaseOf("a") == StoredJob::Phase::kOpen);
  this->Note("a", 1, 0, 1, true);
  CHECK(this->PhaseOf("a") == StoredJob::Phase::kCompleted);
}

// Guards against notices that were sent twice and use up the attempts of a task.
TEST(JobRegister, CountsEachFailedRunOnce) {
  this->Submit("a");
  this->Note("a", 0, 0, 1, false);
  this->Note("a", 0, 0, 1, false);
  CHECK(this->PhaseOf("a") == StoredJob::Phase::kOpen);
  this->Note("a", 0, 0, 2, false);
  CHECK(this->PhaseOf("a") == StoredJob::Phase::kFailed);
}

// Guards against a cancelled job that ends as completed, and against payloads that stay in memory
// after the end of their jobs.
TEST(JobRegister, CancelledJobsStayCancelledAndFreeTheirPayload) {
  this->Submit("a");
  LONGS_EQUAL(2, this->jobs.PayloadBytes().value());
  this->Apply({JobCommand::Cancel{base::SubmissionId("a")}});
  this->Note("a", 0, 0, 1, true);
  this->Note("a", 0, 1, 1, true);
  this->Note("a", 1, 0, 1, true);
  CHECK(this->PhaseOf("a") == StoredJob::Phase::kCancelled);
  LONGS_EQUAL(0, this->jobs.PayloadBytes().value());
}

// Guards against an open job that is dropped, and against records that are kept for good.
TEST(JobRegister, ForgetsEndedJobsOnly) {
  this->Submit("a");
  this->Submit("b");
  this->Apply({JobCommand::Cancel{base::SubmissionId("a")}});
  this->Apply({JobCommand::RemoveRecords{{base::SubmissionId("a"), base::SubmissionId("b")}}});
  CHECK_FALSE(this->Has("a"));
  CHECK_TRUE(this->Has("b"));
}

// Guards against a host that learns of a job by snapshot and runs it with another need, or runs
// tasks that are done.
TEST(JobRegister, SnapshotsKeepJobsAndWhatIsDoneOfThem) {
  this->Submit("a");
  this->Note("a", 0, 1, 3, true);
  this->Note("a", 0, 0, 2, false);
  this->Submit("lasting");
  stored::JobStateMachine copy{[](const std::vector<base::SubmissionId>& /*ids*/) {}};
  copy.Restore(this->jobs.TakeSnapshot());
  LONGS_EQUAL(4, copy.PayloadBytes().value());
  copy.WithJob(base::SubmissionId("lasting"),
               [](const StoredJob* stored) { CHECK_TRUE(stored->job.steps[0].is_long_running); });
  copy.WithJob(base::SubmissionId("a"), [](const StoredJob* stored) {
    CHECK(stored->phase == StoredJob::Phase::kOpen);
    CHECK(stored->job.payload == std::string("\x00\xff", 2));
    CHECK(stored->job.queue == base::QueueId("q"));
    CHECK(stored->job.maximum_attempts == base::AttemptCount(2));
    DOUBLES_EQUAL(1.6, stored->job.maximum_slowdown, 0);
    CHECK(stored->job.steps[0].required_resources == Job("a").steps[0].required_resources);
    CHECK(stored->job.steps[0].placement_rule.required_label == base::LabelId("b"));
    CHECK(stored->job.steps[0].placement_rule.maximum_tasks_per_target == base::TaskCount(3));
    CHECK_FALSE(stored->job.steps[0].is_long_running);
    CHECK(stored->job.steps[1].dependencies[0] == base::StepIndex(0));
    CHECK(stored->steps[0][1].successful_run == base::RunNumber(3));
    CHECK(stored->steps[0][0].failed_runs[0] == base::RunNumber(2));
  });
  copy.Restore("");
  CHECK_FALSE(copy.WithJob(base::SubmissionId("a"),
                           [](const StoredJob* stored) { return stored != nullptr; }));
}

// Guards against a crash on a log entry that was cut off or is of a later version.
TEST(JobRegister, IgnoresCommandsThatCantBeRead) {
  const std::string command = JobCommand{JobCommand::Submit{Job("a")}}.Encode();
  for (size_t size = 0; size < command.size(); ++size) {
    this->jobs.Apply(command.substr(0, size));
  }
  this->jobs.Apply("?");
  LONGS_EQUAL(0, this->changed.size());
  this->Note("unknown", 0, 0, 1, true);
  this->Submit("a");
  this->Note("a", 7, 0, 1, true);
  this->Note("a", 0, 9, 1, true);
  LONGS_EQUAL(1, this->changed.size());
}
