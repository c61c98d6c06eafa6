#include "tests/gateway/uneven_load_cluster.h"

#include <optional>

namespace sapphirecrank::gateway {

using base::HostId;
using std::chrono::milliseconds;

namespace {

constexpr int kReportIntervalMs = 50;
constexpr int kAllocatorTickMs = 20;
constexpr int kGatewayTickMs = 25;

}  // namespace

UnevenLoadCluster::UnevenLoadCluster(int gateway_count, const std::vector<int64_t>& capacities,
                                     Order order)
    : order(order) {
  for (const int64_t capacity : capacities) {
    this->AddAllocator(capacity);
  }
  for (int i = 0; i < gateway_count; ++i) {
    this->AddGateway();
  }
  this->served_by_gateway.resize(this->gateways.size());
  // All gateways know all allocators.
  this->Advance(2 * kReportIntervalMs);
}

void UnevenLoadCluster::AddAllocator(int64_t capacity) {
  const HostId self(std::to_string(this->allocators.size()));
  FakeAllocator::Hooks hooks;
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
      std::make_unique<FakeAllocator>(base::TaskCount(capacity), std::move(hooks)));
}

void UnevenLoadCluster::AddGateway() {
  const HostId self(std::to_string(this->gateways.size()));
  Gateway gateway;
  gateway.selector =
      std::make_unique<AllocatorSelector>(base::DataCentreId("d"), this->clock.AsClock());
  AllocatorSelector& selector = *gateway.selector;
  JobDispatcher::Hooks hooks;
  hooks.now = this->clock.AsClock();
  const bool moves_work = this->order == Order::kMoving;
  hooks.choose_allocator =
      [this, &selector, moves_work](AllocatorRequest request) -> std::optional<AllocatorChoice> {
    if (request.needs_free_capacity && !moves_work) {
      return std::nullopt;
    }
    if (this->order == Order::kFixed) {
      request.random_number.reset();
    }
    return selector.ChooseAllocator(request);
  };
  hooks.expected_wait = [](const base::ServiceId&, base::TaskCount, const runs::TaskRequirements&,
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
  hooks.on_job_end = [](const Job&, const JobResult&, base::Duration) {};
  hooks.on_allocator_unreachable = [](const HostId&) {};
  hooks.allocator_capacities = [&selector, moves_work] {
    return moves_work ? selector.RecentCapacities() : std::vector<AllocatorCapacity>();
  };
  hooks.recall_batch = [this, self](const HostId& host, const runs::BatchRecall& recall) {
    ++this->recall_count;
    this->Send([this, self, host, recall] { this->AllocatorOf(host).Recall(self, recall); });
  };
  hooks.on_batch_move = [](const BatchMove&) {};
  hooks.random_unit = [this] {
    return std::uniform_real_distribution<double>()(this->random_generator);
  };
  gateway.dispatcher = std::make_unique<JobDispatcher>(self, std::move(hooks));
  this->gateways.push_back(std::move(gateway));
}

void UnevenLoadCluster::Submit(size_t gateway, int64_t task_count, base::Duration run_time) {
  Job job;
  job.id = base::SubmissionId("j" + std::to_string(this->next_job));
  job.service = base::ServiceId("s");
  job.time_left = milliseconds(1500);
  job.latency_objective = milliseconds(80);
  JobStep step;
  step.task_count = base::TaskCount(task_count);
  step.estimated_run_time = run_time;
  job.steps.push_back(step);
  ++this->served_by_gateway.at(gateway).submitted;
  const base::TimePoint end_by = this->clock.Now() + job.latency_objective + run_time;
  this->gateways.at(gateway).dispatcher->Submit(
      std::move(job), this->next_job++, [this, gateway, end_by](const JobResult& result) {
        Served& served = this->served_by_gateway[gateway];
        const bool is_completed = result.outcome == JobResult::Outcome::kCompleted;
        served.completed += is_completed ? 1 : 0;
        served.in_time += is_completed && this->clock.Now() <= end_by ? 1 : 0;
        served.refused += result.outcome == JobResult::Outcome::kNotRun ? 1 : 0;
      });
}

void UnevenLoadCluster::Report(size_t allocator) {
  this->SendLater(
      [this, allocator, report = this->allocators[allocator]->Report(this->clock.Now())] {
        for (Gateway& gateway : this->gateways) {
          gateway.selector->OnCapacityReport(HostId(std::to_string(allocator)), report);
          gateway.dispatcher->RecallWaitingBatches();
        }
      });
}

UnevenLoadCluster::Served UnevenLoadCluster::Total() const {
  Served total;
  for (const Served& served : this->served_by_gateway) {
    total.submitted += served.submitted;
    total.completed += served.completed;
    total.in_time += served.in_time;
    total.refused += served.refused;
  }
  return total;
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
        this->Report(k);
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

}  // namespace sapphirecrank::gateway
