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
  std::optional<base::HostId> chosen_allocator{base::HostId("a1")};
  std::optional<base::Duration> expected_wait;
  bool is_allocator_reachable = true;
  uint64_t next_caller = 1;
  std::vector<std::pair<base::HostId, runs::TaskBatch>> placed_batches;
  std::vector<std::pair<base::HostId, base::SubmissionId>> cancelled_jobs;
  std::vector<base::HostId> unreachable_allocators;
  std::vector<JobResult> results;
  JobDispatcher dispatcher{
      base::HostId("g1"),
      {this->clock.AsClock(),
       [this](const gateway::AllocatorRequest& request) {
         // The chosen allocator reports no free capacity.
         return this->chosen_allocator && !request.needs_free_capacity
                    ? std::make_optional(gateway::AllocatorChoice{*this->chosen_allocator, false})
                    : std::nullopt;
       },
       [this](const base::ServiceId&, base::TaskCount, const runs::TaskRequirements&,
              base::Priority) { return this->expected_wait; },
       [this](const base::HostId& host, const runs::TaskBatch& batch) {
         if (this->is_allocator_reachable) {
           this->placed_batches.emplace_back(host, batch);
         }
         return this->is_allocator_reachable;
       },
       [this](const base::HostId& host, const base::SubmissionId& job) {
         this->cancelled_jobs.emplace_back(host, job);
       },
       [](const gateway::Job&, const JobResult&, base::Duration) {},
       [this](const base::HostId& host) { this->unreachable_allocators.push_back(host); },
       [] { return std::vector<gateway::AllocatorCapacity>(); },
       [](const base::HostId&, const runs::BatchRecall&) {}, [](const gateway::BatchMove&) {},
       [] { return 0.0; }}};

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
    this->dispatcher.Submit(std::move(job), caller,
                            [this](const JobResult& result) { this->results.push_back(result); });
    return caller;
  }

  void EndLastBatch(BatchResult::Outcome outcome) {
    this->dispatcher.OnBatchEnd(this->placed_batches.back().first,
                                {this->placed_batches.back().second.key, outcome, "test"});
  }
};

// Guards against a result before all steps are done, a second result, and a step that starts before
// the step that it depends on is done.
TEST(JobDispatcher, RunsStepsInOrderAndReportsTheResultOnce) {
  this->Submit(this->MakeJob(2));
  LONGS_EQUAL(1, this->placed_batches.size());
  LONGS_EQUAL(2, this->placed_batches[0].second.tasks.size());
  this->EndLastBatch(BatchResult::Outcome::kCompleted);
  LONGS_EQUAL(0, this->results.size());
  LONGS_EQUAL(2, this->placed_batches.size());
  CHECK(this->placed_batches[1].second.tasks[0].key.step == base::StepIndex(1));
  this->EndLastBatch(BatchResult::Outcome::kCompleted);
  this->EndLastBatch(BatchResult::Outcome::kCompleted);
  LONGS_EQUAL(1, this->results.size());
  CHECK(this->results[0].outcome == JobResult::Outcome::kCompleted);
}

// Guards against the result "not run" after an earlier step has run.
TEST(JobDispatcher, ReportsNotRunOnlyIfNoTaskHasRun) {
  this->Submit(this->MakeJob(2));
  this->EndLastBatch(BatchResult::Outcome::kCompleted);
  this->EndLastBatch(BatchResult::Outcome::kNotRun);
  CHECK(this->results[0].outcome == JobResult::Outcome::kUnfinished);
  this->Submit(this->MakeJob());
  this->EndLastBatch(BatchResult::Outcome::kNotRun);
  CHECK(this->results[1].outcome == JobResult::Outcome::kNotRun);
  CHECK(this->results[1].retry_after > base::Duration(0));
}

// Guards against a job that waits until its deadline although no allocator can be reached.
TEST(JobDispatcher, RefusesJobsAtOnceWithoutAnAllocator) {
  this->chosen_allocator.reset();
  this->Submit(this->MakeJob());
  CHECK(this->results[0].outcome == JobResult::Outcome::kNotRun);
  this->chosen_allocator = base::HostId("a1");
  this->is_allocator_reachable = false;
  this->Submit(this->MakeJob());
  CHECK(this->results[1].outcome == JobResult::Outcome::kNotRun);
  LONGS_EQUAL(0, this->dispatcher.JobCount());
}

// Guards against tasks that stay active after their only caller has left, and against stopping a
// job that another caller still waits for.
TEST(JobDispatcher, StopsAJobOnceItsLastCallerHasLeft) {
  const uint64_t first = this->Submit(this->MakeJob());
  const uint64_t second = this->Submit(this->MakeJob());
  LONGS_EQUAL(1, this->placed_batches.size());
  this->dispatcher.RemoveCaller(base::SubmissionId("job"), first);
  LONGS_EQUAL(0, this->cancelled_jobs.size());
  this->dispatcher.RemoveCaller(base::SubmissionId("job"), second);
  LONGS_EQUAL(1, this->cancelled_jobs.size());
  LONGS_EQUAL(0, this->results.size());
}

// Guards against a caller that waits until its deadline although the allocator of its job was lost.
TEST(JobDispatcher, EndsJobsAtOnceWhenTheirAllocatorIsLost) {
  this->Submit(this->MakeJob());
  this->dispatcher.OnAllocatorLost(base::HostId("a2"));
  LONGS_EQUAL(0, this->results.size());
  this->dispatcher.OnAllocatorLost(base::HostId("a1"));
  LONGS_EQUAL(1, this->results.size());
  CHECK(this->results[0].outcome == JobResult::Outcome::kUnfinished);
}

// Guards against tasks that stay active after the deadline of their caller.
TEST(JobDispatcher, StopsAJobAtItsDeadline) {
  this->Submit(this->MakeJob());
  this->clock.Advance(milliseconds(1499));
  this->dispatcher.Tick();
  LONGS_EQUAL(0, this->results.size());
  this->clock.Advance(milliseconds(1));
  this->dispatcher.Tick();
  LONGS_EQUAL(1, this->results.size());
  LONGS_EQUAL(1, this->cancelled_jobs.size());
}

// Guards against the result "not run" for started jobs of a gateway that stops. The bench reported
// this as REFUSED in ionaberta-sched trouble-2.
TEST(JobDispatcher, EndsStartedJobsAsUnfinishedWhenItStops) {
  this->Submit(this->MakeJob());
  this->dispatcher.RefuseNewJobs();
  gateway::Job late_job = this->MakeJob();
  late_job.id = base::SubmissionId("late");
  this->Submit(late_job);
  CHECK(this->results[0].outcome == JobResult::Outcome::kNotRun);
  LONGS_EQUAL(1, this->placed_batches.size());
  this->dispatcher.EndAllJobs("stopped");
  CHECK(this->results[1].outcome == JobResult::Outcome::kUnfinished);
}

// Guards against accepting a batch result from an allocator that doesn't have the batch.
TEST(JobDispatcher, IgnoresBatchResultsOfAnotherAllocator) {
  this->Submit(this->MakeJob());
  this->dispatcher.OnBatchEnd(base::HostId("a2"), {this->placed_batches[0].second.key,
                                                   BatchResult::Outcome::kCompleted, ""});
  LONGS_EQUAL(0, this->results.size());
}

// Pattern: loss of an allocator. Guards against refusing a job because the first chosen allocator
// can't be reached, although another one has free capacity.
TEST(JobDispatcher, PlacesBatchesElsewhereIfTheAllocatorIsUnreachable) {
  std::vector<base::HostId> attempted;
  std::vector<base::HostId> allocators{base::HostId("a1"), base::HostId("a2")};
  std::optional<JobResult> result;
  JobDispatcher::Hooks hooks;
  hooks.now = this->clock.AsClock();
  hooks.choose_allocator = [&allocators](const gateway::AllocatorRequest&) {
    return allocators.empty()
               ? std::nullopt
               : std::make_optional(gateway::AllocatorChoice{allocators.front(), false});
  };
  hooks.place_batch = [&attempted](const base::HostId& host, const runs::TaskBatch&) {
    attempted.push_back(host);
    return host == base::HostId("a2");
  };
  hooks.cancel_job = [](const base::HostId&, const base::SubmissionId&) {};
  hooks.on_job_end = [](const gateway::Job&, const JobResult&, base::Duration) {};
  hooks.random_unit = [] { return 0.0; };
  hooks.expected_wait = [](const base::ServiceId&, base::TaskCount, const runs::TaskRequirements&,
                           base::Priority) -> std::optional<base::Duration> {
    return std::nullopt;
  };
  hooks.on_allocator_unreachable = [&allocators](const base::HostId&) {
    allocators.erase(allocators.begin());
  };
  JobDispatcher other_dispatcher(base::HostId("g1"), hooks);
  other_dispatcher.Submit(this->MakeJob(), 1,
                          [&result](const JobResult& ended) { result = ended; });
  CHECK((attempted == std::vector<base::HostId>{base::HostId("a1"), base::HostId("a2")}));
  CHECK_FALSE(result.has_value());
  other_dispatcher.OnBatchEnd(
      base::HostId("a2"), {{base::HostId("g1"), base::SubmissionId("job"), base::BatchNumber(1)},
                           BatchResult::Outcome::kCompleted,
                           "test"});
  CHECK(result->outcome == JobResult::Outcome::kCompleted);
}

// Guards against batches that are recorded as placed but never sent, because a later step of the
// job finds no allocator: the job then waits until its deadline.
TEST(JobDispatcher, SendsTheStepsThatFindAnAllocator) {
  gateway::Job job = this->MakeJob(2);
  job.steps[1].dependencies.clear();
  job.steps[1].task_count = base::TaskCount(3);
  JobDispatcher::Hooks hooks;
  size_t placed_count = 0;
  bool has_capacity = false;
  std::optional<JobResult> result;
  hooks.now = this->clock.AsClock();
  hooks.choose_allocator = [&has_capacity](const gateway::AllocatorRequest& request) {
    return has_capacity || request.count == base::TaskCount(2)
               ? std::make_optional(gateway::AllocatorChoice{base::HostId("a1"), false})
               : std::nullopt;
  };
  hooks.place_batch = [&placed_count](const base::HostId&, const runs::TaskBatch&) {
    ++placed_count;
    return true;
  };
  hooks.cancel_job = [](const base::HostId&, const base::SubmissionId&) {};
  hooks.on_job_end = [](const gateway::Job&, const JobResult&, base::Duration) {};
  hooks.random_unit = [] { return 0.0; };
  hooks.expected_wait = [](const base::ServiceId&, base::TaskCount, const runs::TaskRequirements&,
                           base::Priority) -> std::optional<base::Duration> {
    return std::nullopt;
  };
  hooks.on_allocator_unreachable = [](const base::HostId&) {};
  JobDispatcher other_dispatcher(base::HostId("g1"), hooks);
  const auto end_batch = [&other_dispatcher](uint32_t number) {
    other_dispatcher.OnBatchEnd(base::HostId("a1"), {{base::HostId("g1"), base::SubmissionId("job"),
                                                      base::BatchNumber(number)},
                                                     BatchResult::Outcome::kCompleted,
                                                     "test"});
  };
  other_dispatcher.Submit(std::move(job), 1, [&result](const JobResult& ended) { result = ended; });
  LONGS_EQUAL(1, placed_count);
  has_capacity = true;
  end_batch(1);
  LONGS_EQUAL(2, placed_count);
  end_batch(2);
  CHECK(result->outcome == JobResult::Outcome::kCompleted);
}

// Pattern: overload. Guards against a job that waits in a backlog that certainly outlasts it and is
// refused only then, and against refusing jobs that may still start in time.
TEST(JobDispatcher, RefusesJobsAtOnceIfTheBacklogOutlastsThem) {
  gateway::Job job = this->MakeJob();
  job.latency_objective = milliseconds(100);
  this->expected_wait = milliseconds(140);
  this->Submit(job);
  LONGS_EQUAL(1, this->placed_batches.size());
  LONGS_EQUAL(0, this->results.size());
  job.id = base::SubmissionId("second");
  this->expected_wait = milliseconds(2500);
  this->Submit(job);
  LONGS_EQUAL(1, this->placed_batches.size());
  CHECK(this->results[0].outcome == JobResult::Outcome::kNotRun);
  CHECK(this->results[0].retry_after >= milliseconds(2500));
}
