#include <CppUTest/TestHarness.h>

#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "gateway/allocator_selector.h"
#include "gateway/job_dispatcher.h"

using namespace sapphirecrank;  // NOLINT(google-build-using-namespace)
using base::HostId;
using gateway::JobDispatcher;
using gateway::JobResult;

namespace {

constexpr int kJobCount = 500;

runs::CapacityReport MakeReport(int64_t free, int64_t waiting) {
  runs::CapacityReport report;
  report.accepts_recalls = true;
  runs::CapacityReport::ServiceCapacity capacity;
  capacity.service = base::ServiceId("s");
  capacity.free_task_capacity = base::TaskCount(free);
  capacity.total_task_capacity = base::TaskCount(100);
  capacity.waiting_task_count = base::TaskCount(waiting);
  capacity.waiting_by_priority = {{base::Priority(0), base::TaskCount(waiting)}};
  report.service_capacities = {capacity};
  return report;
}

}  // namespace

TEST_GROUP(ConcurrentMoves) {
  gateway::AllocatorSelector selector{base::DataCentreId("d"), base::SteadyClock()};
  std::mutex mutex;
  std::vector<std::pair<HostId, runs::TaskBatch>> placed_batches;
  std::atomic<int> result_count{0};
  std::atomic<bool> has_ended{false};
  JobDispatcher dispatcher{HostId("g"), this->MakeHooks()};

  JobDispatcher::Hooks MakeHooks() {
    JobDispatcher::Hooks hooks;
    hooks.now = base::SteadyClock();
    hooks.choose_allocator = [this](const gateway::AllocatorRequest& request) {
      return this->selector.ChooseAllocator(request);
    };
    hooks.expected_wait = [](const base::ServiceId&, base::TaskCount, const runs::TaskRequirements&,
                             base::Priority) { return std::optional<base::Duration>(); };
    hooks.place_batch = [this](const HostId& host, const runs::TaskBatch& batch) {
      std::lock_guard<std::mutex> lock(this->mutex);
      this->placed_batches.emplace_back(host, batch);
      return true;
    };
    hooks.cancel_job = [](const HostId&, const base::SubmissionId&) {};
    hooks.on_job_end = [](const gateway::Job&, const JobResult&, base::Duration) {};
    hooks.on_allocator_unreachable = [](const HostId&) {};
    hooks.allocator_capacities = [this] { return this->selector.RecentCapacities(); };
    hooks.recall_batch = [](const HostId&, const runs::BatchRecall&) {};
    hooks.on_batch_move = [](const gateway::BatchMove&) {};
    hooks.random_unit = [] { return 0.5; };
    return hooks;
  }

  void Submit(uint64_t number) {
    gateway::Job job;
    job.id = base::SubmissionId("j" + std::to_string(number));
    job.service = base::ServiceId("s");
    job.time_left = std::chrono::seconds(60);
    job.latency_objective = std::chrono::seconds(60);
    job.steps.emplace_back();
    job.steps[0].task_count = base::TaskCount(2);
    this->dispatcher.Submit(std::move(job), number,
                            [this](const JobResult&) { ++this->result_count; });
  }

  /// Returns one task of each new batch of two tasks, and ends the other batches.
  void AnswerBatches() {
    std::vector<std::pair<HostId, runs::TaskBatch>> batches;
    {
      std::lock_guard<std::mutex> lock(this->mutex);
      batches.swap(this->placed_batches);
    }
    for (const auto& [host, batch] : batches) {
      if (batch.tasks.size() == 2) {
        this->dispatcher.OnTasksReturned(
            host, {batch.key, {{batch.tasks[0].key, base::RunNumber(1)}}, false, false, "test"});
      }
      this->dispatcher.OnBatchEnd(host, {batch.key, runs::BatchResult::Outcome::kCompleted, ""});
    }
  }

  void ReportUntilEnd() {
    while (!this->has_ended) {
      this->selector.OnCapacityReport(HostId("a"), MakeReport(0, 10));
      this->selector.OnCapacityReport(HostId("b"), MakeReport(50, 0));
      this->dispatcher.RecallWaitingBatches();
      this->dispatcher.Tick();
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
  }
};

// Guards against data races and deadlocks between submissions, returns, recalls and reports, which
// come from different threads, and against a job whose two batches end at the same time twice or
// never.
TEST(ConcurrentMoves, EachJobEndsOnce) {
  std::thread reporter([this] { this->ReportUntilEnd(); });
  while (!this->selector.HasReportOf(HostId("b"))) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  std::thread submitter([this] {
    for (uint64_t i = 0; i < kJobCount; ++i) {
      this->Submit(i);
    }
  });
  const auto answer = [this] {
    // Each answer may place a further batch, so that one pass after the last job isn't enough.
    while (this->result_count < kJobCount) {
      this->AnswerBatches();
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
  };
  std::thread first_answerer(answer);
  std::thread second_answerer(answer);
  submitter.join();
  first_answerer.join();
  second_answerer.join();
  this->has_ended = true;
  reporter.join();
  LONGS_EQUAL(kJobCount, this->result_count);
  LONGS_EQUAL(0, this->dispatcher.JobCount());
}
