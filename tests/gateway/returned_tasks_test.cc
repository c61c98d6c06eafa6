#include <CppUTest/TestHarness.h>

#include <optional>
#include <utility>
#include <vector>

#include "base/manual_clock.h"
#include "gateway/allocator_selector.h"
#include "gateway/job_dispatcher.h"

using namespace sapphirecrank;  // NOLINT(google-build-using-namespace)
using base::HostId;
using gateway::JobDispatcher;
using gateway::JobResult;
using runs::BatchResult;
using std::chrono::milliseconds;

// Tasks that move between allocators, with the selector that gateways use.
TEST_GROUP(ReturnedTasks) {
  base::ManualClock clock;
  gateway::AllocatorSelector selector{base::DataCentreId("d"), this->clock.AsClock()};
  std::vector<std::pair<HostId, runs::TaskBatch>> placed_batches;
  std::vector<std::pair<HostId, base::SubmissionId>> cancelled_jobs;
  std::vector<std::pair<HostId, runs::BatchRecall>> recalls;
  std::vector<gateway::BatchMove> moves;
  std::vector<JobResult> results;
  JobDispatcher dispatcher{HostId("g1"), this->MakeHooks()};

  JobDispatcher::Hooks MakeHooks() {
    JobDispatcher::Hooks hooks;
    hooks.now = this->clock.AsClock();
    hooks.choose_allocator = [this](const gateway::AllocatorRequest& request) {
      return this->selector.ChooseAllocator(request);
    };
    hooks.expected_wait = [this](const base::ServiceId& service, base::TaskCount count,
                                 const runs::TaskRequirements& requirements,
                                 base::Priority priority) {
      return this->selector.ExpectedWait(service, count, requirements, priority);
    };
    hooks.place_batch = [this](const HostId& host, const runs::TaskBatch& batch) {
      this->placed_batches.emplace_back(host, batch);
      return true;
    };
    hooks.cancel_job = [this](const HostId& host, const base::SubmissionId& job) {
      this->cancelled_jobs.emplace_back(host, job);
    };
    hooks.on_job_end = [](const gateway::Job&, const JobResult&, base::Duration) {};
    hooks.on_allocator_unreachable = [this](const HostId& host) {
      this->selector.OnAllocatorLost(host);
    };
    hooks.allocator_capacities = [this] { return this->selector.RecentCapacities(); };
    hooks.recall_batch = [this](const HostId& host, const runs::BatchRecall& recall) {
      this->recalls.emplace_back(host, recall);
    };
    hooks.on_batch_move = [this](const gateway::BatchMove& move) { this->moves.push_back(move); };
    hooks.random_unit = [] { return 0.0; };
    return hooks;
  }

  void Report(const char* host, int64_t free, int64_t waiting, int64_t total = 30) {
    runs::CapacityReport report;
    report.data_centre = base::DataCentreId("d");
    report.accepts_recalls = true;
    runs::CapacityReport::ServiceCapacity capacity;
    capacity.service = base::ServiceId("s");
    capacity.free_task_capacity = base::TaskCount(free);
    capacity.total_task_capacity = base::TaskCount(total);
    capacity.waiting_task_count = base::TaskCount(waiting);
    capacity.waiting_by_priority = {{base::Priority(0), base::TaskCount(waiting)}};
    report.service_capacities = {capacity};
    this->selector.OnCapacityReport(HostId(host), report);
  }

  /// Submits a job of 8 tasks of 60 ms each that may wait for 80 ms, 60 of them at one allocator.
  void Submit(int steps = 1) {
    gateway::Job job;
    job.id = base::SubmissionId("job");
    job.service = base::ServiceId("s");
    job.time_left = milliseconds(1500);
    job.latency_objective = milliseconds(80);
    for (int i = 0; i < steps; ++i) {
      gateway::JobStep step;
      step.task_count = base::TaskCount(8);
      step.estimated_run_time = milliseconds(60);
      if (i > 0) {
        step.dependencies.emplace_back(static_cast<uint32_t>(i - 1));
      }
      job.steps.push_back(step);
    }
    this->dispatcher.Submit(std::move(job), 1,
                            [this](const JobResult& result) { this->results.push_back(result); });
  }

  /// Returns the first `count` tasks of a placed batch from its allocator.
  runs::ReturnedTasks MakeReturn(size_t placement, size_t count, bool is_batch_ended,
                                 uint32_t next_run = 1) {
    const runs::TaskBatch& batch = this->placed_batches.at(placement).second;
    runs::ReturnedTasks returned;
    returned.key = batch.key;
    for (size_t i = 0; i < count; ++i) {
      returned.tasks.push_back({batch.tasks.at(i).key, base::RunNumber(next_run)});
    }
    returned.is_batch_ended = is_batch_ended;
    returned.may_have_run = next_run > 1;
    returned.reason = "test";
    return returned;
  }

  void Return(size_t placement, size_t count, bool is_batch_ended, uint32_t next_run = 1) {
    this->dispatcher.OnTasksReturned(this->placed_batches.at(placement).first,
                                     this->MakeReturn(placement, count, is_batch_ended, next_run));
  }

  void End(size_t placement, BatchResult::Outcome outcome) {
    const auto& [host, batch] = this->placed_batches.at(placement);
    this->dispatcher.OnBatchEnd(host, {batch.key, outcome, "test"});
  }
};

// Pattern: an allocator is emptied under load. Guards against failing jobs whose tasks its
// allocator gives back, against placing them there again by its last report, and against run
// numbers that were used before.
TEST(ReturnedTasks, ArePlacedWithAnotherAllocator) {
  this->Report("a", 20, 0);
  this->Report("b", 0, 4);
  this->Submit();
  CHECK(this->placed_batches[0].first == HostId("a"));
  CHECK_TRUE(this->placed_batches[0].second.can_be_returned);
  this->clock.Advance(milliseconds(10));
  this->Return(0, 8, true, 3);
  LONGS_EQUAL(2, this->placed_batches.size());
  const runs::TaskBatch& batch = this->placed_batches[1].second;
  CHECK(this->placed_batches[1].first == HostId("b"));
  CHECK(this->placed_batches[0].second.key.batch < batch.key.batch);
  LONGS_EQUAL(8, batch.tasks.size());
  CHECK(batch.first_run_number == base::RunNumber(3));
  CHECK(batch.time_left == milliseconds(1490));
  // The tasks may have run, so that the job can't be refused any more.
  CHECK(batch.wait_limit == milliseconds(1490));
  LONGS_EQUAL(0, this->results.size());
  this->End(1, BatchResult::Outcome::kCompleted);
  CHECK(this->results.at(0).outcome == JobResult::Outcome::kCompleted);
  CHECK(this->moves.at(0).cause == gateway::BatchMove::Cause::kReturned);
}

// Guards against a returned batch that has its whole wait limit again, so that its caller is
// refused later than it can use.
TEST(ReturnedTasks, KeepTheirRemainingWaitLimit) {
  this->Report("a", 20, 0);
  this->Report("b", 0, 4);
  this->Submit();
  this->clock.Advance(milliseconds(20));
  this->Return(0, 8, true);
  CHECK(this->placed_batches.at(1).second.wait_limit == milliseconds(40));
  CHECK(this->placed_batches.at(1).second.first_run_number == base::RunNumber(1));
}

// Guards against a result before the returned part of a step is done, a step that starts before the
// one that it depends on is done, and a job that waits for a batch that was returned as a whole.
TEST(ReturnedTasks, StepIsDoneWithAllOfItsBatches) {
  this->Report("a", 20, 0);
  this->Report("b", 20, 0);
  this->Submit(2);
  this->Return(0, 3, false);
  LONGS_EQUAL(3, this->placed_batches.at(1).second.tasks.size());
  this->End(0, BatchResult::Outcome::kCompleted);
  LONGS_EQUAL(2, this->placed_batches.size());
  this->clock.Advance(milliseconds(1));
  this->Report("a", 20, 0);
  this->Return(1, 1, false);
  this->End(2, BatchResult::Outcome::kCompleted);
  LONGS_EQUAL(3, this->placed_batches.size());
  // The allocator ends the batch with this return: the tasks that are not in it are done.
  runs::ReturnedTasks rest = this->MakeReturn(1, 3, true);
  rest.tasks.erase(rest.tasks.begin(), rest.tasks.begin() + 2);
  this->dispatcher.OnTasksReturned(this->placed_batches[1].first, rest);
  LONGS_EQUAL(1, this->placed_batches.at(3).second.tasks.size());
  this->End(3, BatchResult::Outcome::kCompleted);
  LONGS_EQUAL(5, this->placed_batches.size());
  CHECK(this->placed_batches[4].second.tasks[0].key.step == base::StepIndex(1));
  LONGS_EQUAL(0, this->results.size());
}

// Guards against two runs of a task: a return that is repeated, names a task that the batch doesn't
// have any more, comes from another allocator, or is about a job that was submitted again since.
TEST(ReturnedTasks, AreIgnoredIfTheyAreNotInAnOpenBatchThere) {
  this->Report("a", 20, 0);
  this->Report("b", 20, 0);
  this->Submit();
  const runs::ReturnedTasks returned = this->MakeReturn(0, 8, true);
  this->dispatcher.OnTasksReturned(HostId("b"), returned);
  LONGS_EQUAL(1, this->placed_batches.size());
  this->Return(0, 3, false);
  this->Return(0, 3, false);
  LONGS_EQUAL(2, this->placed_batches.size());
  this->dispatcher.Cancel(base::SubmissionId("job"));
  LONGS_EQUAL(2, this->cancelled_jobs.size());
  this->Report("a", 20, 0);
  this->Submit();
  LONGS_EQUAL(3, this->placed_batches.size());
  this->dispatcher.OnTasksReturned(this->placed_batches[0].first, returned);
  this->dispatcher.OnBatchEnd(this->placed_batches[0].first,
                              {returned.key, BatchResult::Outcome::kNotRun, "late"});
  LONGS_EQUAL(3, this->placed_batches.size());
  LONGS_EQUAL(1, this->results.size());
}

// Pattern: all data centres are evacuated. Guards against jobs that wait until their deadline
// although no allocator can take them, and against the result "not run" for one that may have run.
TEST(ReturnedTasks, EndTheirJobAtOnceIfNoAllocatorCanTakeThem) {
  this->Report("a", 20, 0);
  this->Submit();
  this->Return(0, 8, true);
  CHECK(this->results.at(0).outcome == JobResult::Outcome::kNotRun);
  CHECK(this->results[0].retry_after >= std::chrono::seconds(1));
  this->Submit();
  this->Return(1, 8, true, 2);
  CHECK(this->results.at(1).outcome == JobResult::Outcome::kUnfinished);
  // Other tasks of the batch may have been started.
  this->Submit();
  this->Return(2, 3, false);
  CHECK(this->results.at(2).outcome == JobResult::Outcome::kUnfinished);
  CHECK(this->cancelled_jobs.back().first == HostId("a"));
  // An earlier step has run.
  this->Submit(2);
  this->End(3, BatchResult::Outcome::kCompleted);
  this->Return(4, 8, true);
  CHECK(this->results.at(3).outcome == JobResult::Outcome::kUnfinished);
  LONGS_EQUAL(0, this->dispatcher.JobCount());
}

// Pattern: all targets of a service are without power or evacuated. Guards against jobs that are
// held until their deadline, and against callers that all return at the same time.
TEST(ReturnedTasks, NewJobsAreRefusedAtOnceWhileNoAllocatorHasTargets) {
  this->Report("a", 0, 0, 0);
  this->Submit();
  CHECK(this->results.at(0).outcome == JobResult::Outcome::kNotRun);
  CHECK(this->results[0].retry_after >= std::chrono::seconds(1));
  this->clock.Advance(milliseconds(100));
  this->Report("a", 8, 0);
  this->Submit();
  LONGS_EQUAL(1, this->placed_batches.size());
  LONGS_EQUAL(1, this->results.size());
}

// Pattern: one kind asks for several times its usual rate. Guards against refusing a job because
// the allocator that had its batch was full, although another one could run it in time.
TEST(ReturnedTasks, RefusedBatchesArePlacedWhereThereIsFreeCapacity) {
  this->Report("a", 0, 2);
  this->Submit();
  this->clock.Advance(milliseconds(61));
  this->Report("b", 8, 0);
  this->End(0, BatchResult::Outcome::kNotRun);
  LONGS_EQUAL(0, this->results.size());
  CHECK(this->placed_batches.at(1).first == HostId("b"));
  CHECK(this->placed_batches[1].second.wait_limit == milliseconds(9));
  this->End(1, BatchResult::Outcome::kCompleted);
  CHECK(this->results.at(0).outcome == JobResult::Outcome::kCompleted);
}

// Guards against placing a refused batch where it would wait again, or too late to end in time, and
// against a refusal of a job of which an earlier step has run.
TEST(ReturnedTasks, RefusedBatchesAreNotPlacedWithoutFreeCapacityOrTime) {
  this->Report("a", 0, 2);
  this->Submit();
  this->clock.Advance(milliseconds(61));
  this->Report("b", 7, 0);
  this->Report("c", 8, 1);
  this->End(0, BatchResult::Outcome::kNotRun);
  CHECK(this->results.at(0).outcome == JobResult::Outcome::kNotRun);
  this->Submit();
  this->clock.Advance(milliseconds(75));
  this->Report("b", 20, 0);
  this->End(1, BatchResult::Outcome::kNotRun);
  CHECK(this->results.at(1).outcome == JobResult::Outcome::kNotRun);
}

// Pattern: room appears at another allocator while a batch waits. Guards against a batch that is
// refused where it waits, and against recalls at each report.
TEST(ReturnedTasks, WaitingBatchesAreRecalledWhenRoomAppearsElsewhere) {
  this->Report("a", 0, 2);
  this->Submit();
  this->clock.Advance(milliseconds(20));
  this->Report("a", 0, 8);
  this->dispatcher.RecallWaitingBatches();
  LONGS_EQUAL(0, this->recalls.size());
  this->Report("b", 8, 0);
  this->dispatcher.RecallWaitingBatches();
  LONGS_EQUAL(1, this->recalls.size());
  CHECK(this->recalls[0].first == HostId("a"));
  CHECK(this->recalls[0].second.batch == this->placed_batches[0].second.key.batch);
  this->clock.Advance(milliseconds(20));
  this->Report("b", 8, 0);
  this->dispatcher.RecallWaitingBatches();
  LONGS_EQUAL(1, this->recalls.size());
  this->Return(0, 8, true);
  CHECK(this->placed_batches.at(1).first == HostId("b"));
  CHECK(this->moves.at(0).cause == gateway::BatchMove::Cause::kRecalled);
}

// Guards against refusing a job whose batch was recalled for capacity that is gone since, although
// the allocator that had it still could run it.
TEST(ReturnedTasks, RecalledTasksMayGoBackIfNoOtherAllocatorIsLeft) {
  this->Report("a", 0, 2);
  this->Submit();
  this->clock.Advance(milliseconds(20));
  this->Report("a", 0, 8);
  this->Report("b", 8, 0);
  this->dispatcher.RecallWaitingBatches();
  LONGS_EQUAL(1, this->recalls.size());
  this->selector.OnAllocatorLost(HostId("b"));
  this->dispatcher.OnAllocatorLost(HostId("b"));
  this->Return(0, 8, true);
  CHECK(this->placed_batches.at(1).first == HostId("a"));
  LONGS_EQUAL(0, this->results.size());
}
