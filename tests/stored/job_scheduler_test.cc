#include "stored/job_scheduler.h"

#include <CppUTest/TestHarness.h>

#include <string>
#include <utility>
#include <vector>

#include "base/manual_clock.h"

using namespace sapphirecrank;  // NOLINT(google-build-using-namespace)
using runs::RunEvent;
using std::chrono::milliseconds;
using stored::JobCommand;
using stored::JobScheduler;
using stored::JobState;
using Judgement = JobScheduler::EventDisposition;

TEST_GROUP(JobScheduler) {
  base::ManualClock clock;
  std::vector<std::pair<base::HostId, runs::TaskBatch>> placed;
  std::vector<std::pair<base::HostId, base::SubmissionId>> cancelled;
  std::vector<base::SubmissionId> forgotten;
  std::string allocator = "a1";
  bool is_reachable = true;
  stored::JobStateMachine jobs{
      [this](const std::vector<base::SubmissionId>& ids) { this->runner.OnJobsChanged(ids); }};
  JobScheduler runner{{base::HostId("self"), std::chrono::seconds(10)}, this->jobs, this->Hooks()};

  JobScheduler::Hooks Hooks() {
    JobScheduler::Hooks hooks;
    hooks.now = this->clock.AsClock();
    hooks.choose_allocator = [this](const base::ServiceId&,
                                    base::TaskCount) -> std::optional<base::HostId> {
      if (this->allocator.empty()) {
        return std::nullopt;
      }
      return base::HostId(this->allocator);
    };
    hooks.place_batch = [this](const base::HostId& host, const runs::TaskBatch& part) {
      if (this->is_reachable) {
        this->placed.emplace_back(host, part);
      }
      return this->is_reachable;
    };
    hooks.cancel_job = [this](const base::HostId& host, const base::SubmissionId& job) {
      this->cancelled.emplace_back(host, job);
    };
    hooks.remove_job_records = [this](const std::vector<base::SubmissionId>& ids) {
      this->forgotten = ids;
    };
    hooks.on_leadership_change = [](bool /*leads*/) {};
    return hooks;
  }

  /// Lets time pass on a host that keeps its lease.
  void Pass(int count, uint64_t term = 3) {
    for (int passed = 0; passed < count; passed += 100) {
      this->clock.Advance(milliseconds(100));
      this->runner.OnLeaseHeld(base::Term(term));
      this->runner.Tick();
    }
  }

  void Lead() { this->Pass(3000); }

  void Submit(const char* id, int tasks = 1, bool has_second_step = false,
              bool is_lasting = false) {
    gateway::Job job;
    job.id = base::SubmissionId(id);
    job.queue = base::QueueId("q");
    job.maximum_attempts = base::AttemptCount(2);
    gateway::JobStep step;
    step.task_count = base::TaskCount(tasks);
    step.is_long_running = is_lasting;
    job.steps = {step};
    if (has_second_step) {
      step.dependencies = {base::StepIndex(0)};
      job.steps.push_back(step);
    }
    this->jobs.Apply(JobCommand{JobCommand::Submit{job}}.Encode());
  }

  std::vector<std::pair<base::HostId, runs::TaskBatch>> Take() {
    return std::exchange(this->placed, {});
  }

  static RunEvent Notice(const runs::TaskBatch& part, size_t task, RunEvent::Kind kind) {
    RunEvent notice;
    notice.key = {part.tasks[task].key, part.first_run_number};
    notice.kind = kind;
    return notice;
  }

  void Commit(const RunEvent& notice) {
    this->jobs.Apply(JobCommand{
        JobCommand::RecordOutcomes{{{notice.key, notice.kind == RunEvent::Kind::kSucceeded}}}}
                         .Encode());
  }
};

// Guards against a second run of a task beside one that the former leader has started.
TEST(JobScheduler, ANewLeaderWaitsUntilRunsOfTheFormerOneAreGone) {
  this->Submit("job");
  this->Pass(1700);
  LONGS_EQUAL(0, this->Take().size());
  this->Pass(300);
  LONGS_EQUAL(1, this->Take().size());
}

// Guards against a leader that runs jobs on while another one may have begun to.
TEST(JobScheduler, StopsWhatItHasPlacedWhenItsLeaseEnds) {
  this->Lead();
  this->Submit("job");
  LONGS_EQUAL(1, this->Take().size());
  this->clock.Advance(milliseconds(600));
  this->runner.Tick();
  CHECK_FALSE(this->runner.IsLeading());
  LONGS_EQUAL(1, this->cancelled.size());
  this->Pass(3000, 4);
  const auto again = this->Take();
  LONGS_EQUAL(1, again.size());
  // Targets refuse runs whose number isn't higher than that of a run that has ended there.
  CHECK(again[0].second.first_run_number > base::RunNumber(4U << 16U));
}

// Guards against run numbers that a leader uses twice when it gets its lease back without an
// election: the end of the second run passed for that of the first, and the task ran again (hunt of
// a copy of satna-listky with stored jobs on gateway-standstill, TWICE, seed 74084029668).
TEST(JobScheduler, NumbersRunsOnAfterItsLeaseWasInterrupted) {
  this->Lead();
  this->Submit("job");
  const auto first = this->Take();
  this->clock.Advance(milliseconds(600));
  this->runner.Tick();
  CHECK_FALSE(this->runner.IsLeading());
  this->Pass(3000);
  const auto second = this->Take();
  LONGS_EQUAL(1, second.size());
  CHECK(second[0].second.first_run_number.value() >=
        first[0].second.first_run_number.value() + runs::TaskBatch::kMaximumRunsPerTask);
  CHECK(second[0].second.key.batch > first[0].second.key.batch);
}

// Guards against tasks that are lost because their job came before any allocator had room.
TEST(JobScheduler, PlacesWhatWaitedForRoom) {
  this->Lead();
  this->allocator.clear();
  this->Submit("job");
  LONGS_EQUAL(0, this->Take().size());
  this->allocator = "a2";
  this->Pass(100);
  LONGS_EQUAL(1, this->Take().size());
}

// Guards against a step that begins before the earlier one is durably done.
TEST(JobScheduler, AStepWaitsForTheEarlierOne) {
  this->Lead();
  this->Submit("job", 2, true);
  const auto first = this->Take();
  LONGS_EQUAL(1, first.size());
  LONGS_EQUAL(2, first[0].second.tasks.size());
  const RunEvent done = Notice(first[0].second, 0, RunEvent::Kind::kSucceeded);
  CHECK(this->runner.ClassifyRunEvent(done) == Judgement::kPropose);
  this->Commit(done);
  this->Pass(200);
  LONGS_EQUAL(0, this->Take().size());
  const RunEvent other = Notice(first[0].second, 1, RunEvent::Kind::kSucceeded);
  CHECK(this->runner.ClassifyRunEvent(other) == Judgement::kPropose);
  this->Pass(200);
  LONGS_EQUAL(0, this->Take().size());
  this->Commit(other);
  const auto second = this->Take();
  LONGS_EQUAL(1, second.size());
  CHECK(second[0].second.tasks[0].key.step == base::StepIndex(1));
}

// Guards against a task that is started again while the end of its run is being agreed on, also
// when its part or its allocator is lost meanwhile.
TEST(JobScheduler, PlacesNoTaskAgainWhoseEndIsBeingAgreedOn) {
  this->Lead();
  this->Submit("job", 2);
  const auto first = this->Take();
  const RunEvent done = Notice(first[0].second, 0, RunEvent::Kind::kSucceeded);
  CHECK(this->runner.ClassifyRunEvent(done) == Judgement::kPropose);
  // The end of the other task is in the record first.
  this->Commit(Notice(first[0].second, 1, RunEvent::Kind::kSucceeded));
  this->runner.OnAllocatorLost(first[0].first);
  this->Pass(5000);
  LONGS_EQUAL(0, this->Take().size());
}

// Guards against a task that is started again at once although a run at a lost allocator may go on
// or may have done it.
TEST(JobScheduler, WaitsBeforeItPlacesTasksOfALostAllocatorAgain) {
  this->Lead();
  this->Submit("job");
  const auto first = this->Take();
  this->runner.OnAllocatorLost(first[0].first);
  this->Pass(1700);
  LONGS_EQUAL(0, this->Take().size());
  this->Pass(300);
  const auto second = this->Take();
  LONGS_EQUAL(1, second.size());
  CHECK(second[0].second.first_run_number > first[0].second.first_run_number);
}

// Guards against an end that is told to its target although its task was started again since.
TEST(JobScheduler, EndsOfEarlierPartsAreOutdated) {
  this->Lead();
  this->Submit("job");
  const auto first = this->Take();
  this->runner.OnAllocatorLost(first[0].first);
  this->Pass(2000);
  const auto second = this->Take();
  const RunEvent late = Notice(first[0].second, 0, RunEvent::Kind::kSucceeded);
  CHECK(this->runner.ClassifyRunEvent(late) == Judgement::kSuperseded);
  const RunEvent done = Notice(second[0].second, 0, RunEvent::Kind::kSucceeded);
  CHECK(this->runner.ClassifyRunEvent(done) == Judgement::kPropose);
  this->Commit(done);
  CHECK(this->runner.JobStateOf(base::SubmissionId("job")) == JobState::kCompleted);
  CHECK(this->runner.ClassifyRunEvent(done) == Judgement::kAcknowledge);
  CHECK(this->runner.ClassifyRunEvent(late) == Judgement::kSuperseded);
}

// Guards against an end that is lost between a former leader and this one: the task would run
// again.
TEST(JobScheduler, TakesEndsThatAFormerLeaderHasNotNoted) {
  this->Submit("job");
  this->Pass(200);
  RunEvent done;
  done.key = {
      {base::SubmissionId("job"), base::OccurrenceNumber(), base::StepIndex(), base::TaskIndex()},
      base::RunNumber(9)};
  done.kind = RunEvent::Kind::kSucceeded;
  CHECK(this->runner.ClassifyRunEvent(done) == Judgement::kPropose);
  this->Pass(5000);
  this->Commit(done);
  this->Pass(5000);
  LONGS_EQUAL(0, this->Take().size());
}

// Guards against attempts that are used up by one failure, or not counted.
TEST(JobScheduler, AFailedTaskIsPlacedAgainUntilItsAttemptsAreUsedUp) {
  this->Lead();
  this->Submit("job");
  const auto first = this->Take();
  const RunEvent failed = Notice(first[0].second, 0, RunEvent::Kind::kFailed);
  CHECK(this->runner.ClassifyRunEvent(failed) == Judgement::kPropose);
  this->Commit(failed);
  const auto second = this->Take();
  LONGS_EQUAL(1, second.size());
  const RunEvent again = Notice(second[0].second, 0, RunEvent::Kind::kFailed);
  CHECK(this->runner.ClassifyRunEvent(again) == Judgement::kPropose);
  this->Commit(again);
  CHECK(this->runner.JobStateOf(base::SubmissionId("job")) == JobState::kFailed);
  this->Pass(5000);
  LONGS_EQUAL(0, this->Take().size());
}

// Guards against runs of a cancelled job that go on.
TEST(JobScheduler, StopsCancelledJobsWhereTheyArePlaced) {
  this->Lead();
  this->Submit("job");
  LONGS_EQUAL(1, this->Take().size());
  this->jobs.Apply(JobCommand{JobCommand::Cancel{base::SubmissionId("job")}}.Encode());
  LONGS_EQUAL(1, this->cancelled.size());
  CHECK(this->cancelled[0].first == base::HostId("a1"));
  this->Pass(5000);
  LONGS_EQUAL(0, this->Take().size());
}

// Guards against tasks that wait for good at an allocator without room while another has some.
TEST(JobScheduler, PlacesPartsThatDidNotBeginElsewhere) {
  this->Lead();
  this->Submit("job");
  const auto first = this->Take();
  this->allocator = "a2";
  this->runner.OnBatchEnd(first[0].first,
                          {first[0].second.key, runs::BatchResult::Outcome::kNotRun, "no room"});
  this->Pass(100);
  const auto second = this->Take();
  LONGS_EQUAL(1, second.size());
  CHECK(second[0].first == base::HostId("a2"));
}

// Guards against a count of waiting jobs that leaves out some or counts those that run.
TEST(JobScheduler, CountsJobsThatHaveNotBegun) {
  this->Lead();
  this->Submit("one");
  this->Submit("two");
  LONGS_EQUAL(2, this->runner.PendingJobCount(base::QueueId("q")));
  LONGS_EQUAL(0, this->runner.PendingJobCount(base::QueueId("other")));
  const auto first = this->Take();
  const RunEvent begun = Notice(first[0].second, 0, RunEvent::Kind::kStarted);
  CHECK(this->runner.ClassifyRunEvent(begun) == Judgement::kAcknowledge);
  LONGS_EQUAL(1, this->runner.PendingJobCount(base::QueueId("q")));
  CHECK(this->runner.JobStateOf(base::SubmissionId("one")) == JobState::kRunning);
  CHECK(this->runner.JobStateOf(base::SubmissionId("two")) == JobState::kQueued);
  CHECK(this->runner.JobStateOf(base::SubmissionId("none")) == JobState::kUnknown);
}

// Guards against records that are dropped while callers still ask for them, or never.
TEST(JobScheduler, ForgetsEndedJobsAfterTheirTime) {
  this->Lead();
  this->Submit("job");
  this->jobs.Apply(JobCommand{JobCommand::Cancel{base::SubmissionId("job")}}.Encode());
  this->Pass(9000);
  LONGS_EQUAL(0, this->forgotten.size());
  this->Pass(3000);
  LONGS_EQUAL(1, this->forgotten.size());
}

// Guards against a lasting task that stays away after its end, or uses up attempts.
TEST(JobScheduler, LastingTasksBeginAgainHoweverTheyEnd) {
  this->Lead();
  this->Submit("job", 1, false, true);
  for (const auto kind : {RunEvent::Kind::kFailed, RunEvent::Kind::kFailed, RunEvent::Kind::kFailed,
                          RunEvent::Kind::kSucceeded}) {
    const auto placements = this->Take();
    LONGS_EQUAL(1, placements.size());
    CHECK(this->runner.ClassifyRunEvent(Notice(placements[0].second, 0, kind)) ==
          Judgement::kAcknowledge);
    this->Pass(100);
  }
  LONGS_EQUAL(1, this->Take().size());
  CHECK(this->runner.JobStateOf(base::SubmissionId("job")) != JobState::kCompleted);
  this->jobs.Apply(JobCommand{JobCommand::Cancel{base::SubmissionId("job")}}.Encode());
  this->Pass(5000);
  LONGS_EQUAL(0, this->Take().size());
}
