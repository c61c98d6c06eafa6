#include <CppUTest/TestHarness.h>

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "base/manual_clock.h"
#include "gateway/allocator_selector.h"
#include "gateway/job_dispatcher.h"
#include "tests/gateway/fake_allocator.h"

using namespace sapphirecrank;  // NOLINT(google-build-using-namespace)
using base::HostId;
using gateway::JobResult;
using std::chrono::milliseconds;

namespace {

constexpr base::Duration kMessageDelay = milliseconds(2);
constexpr int kReportIntervalMs = 50;
constexpr int kAllocatorTickMs = 20;
constexpr int kGatewayTickMs = 25;

/// Gateways and allocators of one data centre. Each message takes 2 ms; all take place on the
/// calling thread as time is advanced.
class UnevenLoadCluster {
 public:
  UnevenLoadCluster(int gateway_count, std::vector<int64_t> capacities);

  /// Submits a job that may wait for 80 ms.
  void Submit(size_t gateway, int64_t task_count, base::Duration run_time);
  void Advance(int milliseconds_to_pass);

  std::vector<std::unique_ptr<gateway::FakeAllocator>> allocators;
  std::map<JobResult::Outcome, int> results;
  /// Jobs by gateway that have been completed.
  std::vector<int> completed_counts;
  int recall_count = 0;

 private:
  struct Gateway {
    std::unique_ptr<gateway::AllocatorSelector> selector;
    std::unique_ptr<gateway::JobDispatcher> dispatcher;
  };

  void AddAllocator(int64_t capacity);
  void AddGateway();
  void Send(std::function<void()> message) {
    this->messages.emplace(this->clock.Now() + kMessageDelay, std::move(message));
  }
  Gateway& GatewayOf(const HostId& host) { return this->gateways.at(std::stoul(host.value())); }
  gateway::FakeAllocator& AllocatorOf(const HostId& host) {
    return *this->allocators.at(std::stoul(host.value()));
  }

  base::ManualClock clock;
  int64_t now_ms = 0;
  uint64_t next_job = 1;
  std::mt19937_64 random_generator{1};
  std::vector<Gateway> gateways;
  std::multimap<base::TimePoint, std::function<void()>> messages;
};

UnevenLoadCluster::UnevenLoadCluster(int gateway_count, std::vector<int64_t> capacities) {
  for (const int64_t capacity : capacities) {
    this->AddAllocator(capacity);
  }
  for (int i = 0; i < gateway_count; ++i) {
    this->AddGateway();
  }
  this->completed_counts.resize(this->gateways.size());
  // All gateways know all allocators.
  this->Advance(2 * kReportIntervalMs);
}

void UnevenLoadCluster::AddAllocator(int64_t capacity) {
  const HostId self(std::to_string(this->allocators.size()));
  gateway::FakeAllocator::Hooks hooks;
  hooks.on_batch_end = [this, self](const runs::BatchResult& result) {
    this->Send([this, self, result] {
      this->GatewayOf(result.key.gateway).dispatcher->OnBatchEnd(self, result);
    });
  };
  hooks.on_tasks_returned = [this, self](const runs::ReturnedTasks& returned) {
    this->Send([this, self, returned] {
      this->GatewayOf(returned.key.gateway).dispatcher->OnTasksReturned(self, returned);
    });
  };
  hooks.on_start = [](const runs::BatchKey&, const runs::JobTaskKey&, base::RunNumber) {};
  hooks.on_task_done = [](const runs::BatchKey&, const runs::JobTaskKey&) {};
  this->allocators.push_back(
      std::make_unique<gateway::FakeAllocator>(base::TaskCount(capacity), std::move(hooks)));
}

void UnevenLoadCluster::AddGateway() {
  const HostId self(std::to_string(this->gateways.size()));
  Gateway gateway;
  gateway.selector =
      std::make_unique<gateway::AllocatorSelector>(base::DataCentreId("d"), this->clock.AsClock());
  gateway::AllocatorSelector& selector = *gateway.selector;
  gateway::JobDispatcher::Hooks hooks;
  hooks.now = this->clock.AsClock();
  hooks.choose_allocator = [&selector](const gateway::AllocatorRequest& request) {
    return selector.ChooseAllocator(request);
  };
  hooks.expected_wait = [](const base::ServiceId&, base::TaskCount,
                           base::Priority) -> std::optional<base::Duration> {
    return std::nullopt;
  };
  hooks.place_batch = [this](const HostId& host, const runs::TaskBatch& batch) {
    this->Send([this, host, batch] { this->AllocatorOf(host).Place(batch, this->clock.Now()); });
    return true;
  };
  hooks.cancel_job = [this, self](const HostId& host, const base::SubmissionId& job) {
    this->Send([this, self, host, job] { this->AllocatorOf(host).Cancel(self, job); });
  };
  hooks.on_job_end = [](const gateway::Job&, const JobResult&, base::Duration) {};
  hooks.on_allocator_unreachable = [](const HostId&) {};
  hooks.allocator_capacities = [&selector] { return selector.RecentCapacities(); };
  hooks.recall_batch = [this, self](const HostId& host, const runs::BatchRecall& recall) {
    ++this->recall_count;
    this->Send([this, self, host, recall] { this->AllocatorOf(host).Recall(self, recall); });
  };
  hooks.on_batch_move = [](const gateway::BatchMove&) {};
  hooks.random_unit = [this] {
    return std::uniform_real_distribution<double>()(this->random_generator);
  };
  gateway.dispatcher = std::make_unique<gateway::JobDispatcher>(self, std::move(hooks));
  this->gateways.push_back(std::move(gateway));
}

void UnevenLoadCluster::Submit(size_t gateway, int64_t task_count, base::Duration run_time) {
  gateway::Job job;
  job.id = base::SubmissionId("j" + std::to_string(this->next_job));
  job.service = base::ServiceId("s");
  job.time_left = milliseconds(1500);
  job.latency_objective = milliseconds(80);
  gateway::JobStep step;
  step.task_count = base::TaskCount(task_count);
  step.estimated_run_time = run_time;
  job.steps.push_back(step);
  this->gateways.at(gateway).dispatcher->Submit(
      std::move(job), this->next_job++, [this, gateway](const JobResult& result) {
        ++this->results[result.outcome];
        this->completed_counts[gateway] += result.outcome == JobResult::Outcome::kCompleted ? 1 : 0;
      });
}

void UnevenLoadCluster::Advance(int milliseconds_to_pass) {
  for (int i = 0; i < milliseconds_to_pass; ++i) {
    this->clock.Advance(milliseconds(1));
    ++this->now_ms;
    while (!this->messages.empty() && this->messages.begin()->first <= this->clock.Now()) {
      const std::function<void()> message = std::move(this->messages.begin()->second);
      this->messages.erase(this->messages.begin());
      message();
    }
    for (size_t k = 0; k < this->allocators.size(); ++k) {
      this->allocators[k]->Advance(this->clock.Now(), this->now_ms % kAllocatorTickMs == 0);
      // The allocators report at different times.
      if (this->now_ms % kReportIntervalMs == static_cast<int64_t>(7 * k % kReportIntervalMs)) {
        this->Send([this, k, report = this->allocators[k]->Report()] {
          for (Gateway& gateway : this->gateways) {
            gateway.selector->OnCapacityReport(HostId(std::to_string(k)), report);
            gateway.dispatcher->RecallWaitingBatches();
          }
        });
      }
    }
    if (this->now_ms % kGatewayTickMs == 0) {
      for (Gateway& gateway : this->gateways) {
        gateway.dispatcher->Tick();
        gateway.dispatcher->RecallWaitingBatches();
      }
    }
  }
}

}  // namespace

TEST_GROUP(UnevenLoad){};

// Pattern: one kind asks for several times its usual rate; all gateways choose the same allocator
// from the same report. Guards against refusing jobs where all gateways have sent them while the
// other allocators have free capacity, and against moving all of them to the same one again.
TEST(UnevenLoad, BurstThatAllGatewaysSendToOneAllocatorReachesTheOthers) {
  UnevenLoadCluster cluster(16, {64, 64, 64, 64});
  // All 256 tasks fit at once, but each gateway fills the same two allocators.
  for (size_t gateway = 0; gateway < 16; ++gateway) {
    cluster.Submit(gateway, 8, milliseconds(200));
    cluster.Submit(gateway, 8, milliseconds(200));
  }
  cluster.Advance(600);
  // Without recalls it is half of them.
  CHECK(cluster.results[JobResult::Outcome::kCompleted] >= 28);
  CHECK(cluster.recall_count <= 40);
}

// Pattern: room appears at another allocator while a batch waits. Guards against a batch that waits
// behind the work of others for longer than 100 ms although room is known elsewhere.
TEST(UnevenLoad, WaitingBatchMovesToRoomThatAppearsElsewhere) {
  UnevenLoadCluster cluster(2, {8, 8});
  cluster.Submit(0, 8, milliseconds(60));
  cluster.Submit(0, 8, milliseconds(60));
  cluster.Advance(52);
  // Both allocators are full for 10 ms more. Two batches take the first that becomes free, and wait
  // for the same one.
  cluster.Submit(0, 8, milliseconds(60));
  cluster.Submit(1, 8, milliseconds(60));
  cluster.Advance(250);
  LONGS_EQUAL(4, cluster.results[JobResult::Outcome::kCompleted]);
}

// Pattern: an allocator is emptied under load. Guards against jobs that fail or are refused because
// their tasks wait at an allocator that may not start them any more.
TEST(UnevenLoad, JobsOfAnEmptiedAllocatorAreServedByTheOthers) {
  UnevenLoadCluster cluster(4, {16, 64, 64});
  // Fills the first allocator, so that the tasks of further jobs wait there.
  for (size_t gateway = 0; gateway < 4; ++gateway) {
    cluster.Submit(gateway, 8, milliseconds(60));
    cluster.Submit(gateway, 8, milliseconds(60));
  }
  cluster.Advance(10);
  for (auto& allocator : cluster.allocators) {
    if (allocator->Report().service_capacities[0].waiting_task_count > base::TaskCount(0)) {
      allocator->Evacuate();
    }
  }
  cluster.Advance(300);
  LONGS_EQUAL(8, cluster.results[JobResult::Outcome::kCompleted]);
}
