#include "gateway/job_dispatcher.h"

#include <CppUTest/TestHarness.h>

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/manual_clock.h"

using namespace sapphirecrank;  // NOLINT(google-build-using-namespace)
using gateway::JobDispatcher;
using gateway::JobResult;
using runs::BatchResult;
using std::chrono::milliseconds;

TEST_GROUP(JobDispatcher) {
  base::ManualClock clock;
  std::optional<base::HostId> chosen{base::HostId("a1")};
  bool is_sent = true;
  uint64_t next_caller = 1;
  std::vector<std::pair<base::HostId, runs::TaskBatch>> placed;
  std::vector<std::pair<base::HostId, base::SubmissionId>> cancelled;
  std::vector<JobResult> answers;
  JobDispatcher table{base::HostId("g1"),
                      {this->clock.AsClock(),
                       [this](const base::ServiceId&, base::TaskCount) { return this->chosen; },
                       [this](const base::HostId& host, const runs::TaskBatch& part) {
                         if (this->is_sent) {
                           this->placed.emplace_back(host, part);
                         }
                         return this->is_sent;
                       },
                       [this](const base::HostId& host, const base::SubmissionId& job) {
                         this->cancelled.emplace_back(host, job);
                       },
                       [](const gateway::Job&, const JobResult&, base::Duration) {}}};

  gateway::Job MakeJob(int steps = 1) {
    gateway::Job job;
    job.id = base::SubmissionId("job");
    job.service = base::ServiceId("service");
    job.time_left = milliseconds(1500);
    for (int i = 0; i < steps; ++i) {
      gateway::JobStep step;
      step.task_count = base::TaskCount(2);
      if (i > 0) {
        step.dependencies.emplace_back(static_cast<uint32_t>(i - 1));
      }
      job.steps.push_back(step);
    }
    return job;
  }

  uint64_t Submit(gateway::Job job) {
    const uint64_t caller = this->next_caller++;
    this->table.Submit(std::move(job), caller,
                       [this](const JobResult& answer) { this->answers.push_back(answer); });
    return caller;
  }

  void EndLast(BatchResult::Outcome kind) {
    this->table.OnBatchEnd(this->placed.back().first,
                           {this->placed.back().second.key, kind, "test"});
  }
};

// Guards against an answer before all steps are done, and a step that begins before the one that it
// follows.
TEST(JobDispatcher, RunsStepsInOrderAndAnswersOnce) {
  this->Submit(this->MakeJob(2));
  LONGS_EQUAL(1, this->placed.size());
  LONGS_EQUAL(2, this->placed[0].second.tasks.size());
  this->EndLast(BatchResult::Outcome::kCompleted);
  LONGS_EQUAL(0, this->answers.size());
  LONGS_EQUAL(2, this->placed.size());
  CHECK(this->placed[1].second.tasks[0].key.step == base::StepIndex(1));
  this->EndLast(BatchResult::Outcome::kCompleted);
  this->EndLast(BatchResult::Outcome::kCompleted);
  LONGS_EQUAL(1, this->answers.size());
  CHECK(this->answers[0].outcome == JobResult::Outcome::kCompleted);
}

// Guards against a refusal that says "not run" after an earlier step has run.
TEST(JobDispatcher, SaysNotRunOnlyIfNothingHasRun) {
  this->Submit(this->MakeJob(2));
  this->EndLast(BatchResult::Outcome::kCompleted);
  this->EndLast(BatchResult::Outcome::kNotRun);
  CHECK(this->answers[0].outcome == JobResult::Outcome::kUnfinished);
  this->Submit(this->MakeJob());
  this->EndLast(BatchResult::Outcome::kNotRun);
  CHECK(this->answers[1].outcome == JobResult::Outcome::kNotRun);
  CHECK(this->answers[1].retry_after > base::Duration(0));
}

// Guards against a job that waits for nobody when no allocator can be reached.
TEST(JobDispatcher, RefusesAtOnceWithoutAnAllocator) {
  this->chosen.reset();
  this->Submit(this->MakeJob());
  CHECK(this->answers[0].outcome == JobResult::Outcome::kNotRun);
  this->chosen = base::HostId("a1");
  this->is_sent = false;
  this->Submit(this->MakeJob());
  CHECK(this->answers[1].outcome == JobResult::Outcome::kNotRun);
  LONGS_EQUAL(0, this->table.JobCount());
}

// Guards against tasks that run on for a caller that has left, and against stopping a job that
// another caller still waits for.
TEST(JobDispatcher, StopsAJobOnceItsLastCallerHasLeft) {
  const uint64_t first = this->Submit(this->MakeJob());
  const uint64_t second = this->Submit(this->MakeJob());
  LONGS_EQUAL(1, this->placed.size());
  this->table.RemoveCaller(base::SubmissionId("job"), first);
  LONGS_EQUAL(0, this->cancelled.size());
  this->table.RemoveCaller(base::SubmissionId("job"), second);
  LONGS_EQUAL(1, this->cancelled.size());
  LONGS_EQUAL(0, this->answers.size());
}

// Guards against a caller that waits in vain after its allocator was lost.
TEST(JobDispatcher, AnswersAtOnceWhenAnAllocatorIsLost) {
  this->Submit(this->MakeJob());
  this->table.OnAllocatorLost(base::HostId("a2"));
  LONGS_EQUAL(0, this->answers.size());
  this->table.OnAllocatorLost(base::HostId("a1"));
  LONGS_EQUAL(1, this->answers.size());
  CHECK(this->answers[0].outcome == JobResult::Outcome::kUnfinished);
}

// Guards against tasks that run past the time that their caller waits.
TEST(JobDispatcher, StopsAJobAtItsDeadline) {
  this->Submit(this->MakeJob());
  this->clock.Advance(milliseconds(1499));
  this->table.Tick();
  LONGS_EQUAL(0, this->answers.size());
  this->clock.Advance(milliseconds(1));
  this->table.Tick();
  LONGS_EQUAL(1, this->answers.size());
  LONGS_EQUAL(1, this->cancelled.size());
}

// Guards against a stopping gateway that refuses as "not run" jobs whose tasks have started
// (seen on the bench as REFUSED, ionaberta-sched trouble-2).
TEST(JobDispatcher, EndsWhatHasBegunAsUnfinishedWhenItStops) {
  this->Submit(this->MakeJob());
  this->table.RefuseNewJobs();
  gateway::Job late = this->MakeJob();
  late.id = base::SubmissionId("late");
  this->Submit(late);
  CHECK(this->answers[0].outcome == JobResult::Outcome::kNotRun);
  LONGS_EQUAL(1, this->placed.size());
  this->table.EndAllJobs("stopped");
  CHECK(this->answers[1].outcome == JobResult::Outcome::kUnfinished);
}

// Guards against an answer of an allocator that doesn't hold the part.
TEST(JobDispatcher, IgnoresEndsFromAnotherAllocator) {
  this->Submit(this->MakeJob());
  this->table.OnBatchEnd(base::HostId("a2"),
                         {this->placed[0].second.key, BatchResult::Outcome::kCompleted, ""});
  LONGS_EQUAL(0, this->answers.size());
}
