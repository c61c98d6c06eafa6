#pragma once

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
#include "gateway/job_result.h"
#include "tests/gateway/fake_allocator.h"

namespace sapphirecrank::gateway {

/// Gateways and allocators of one data centre, for tests and measurements without a network. Each
/// message takes 2 ms; all take place on the calling thread as time is advanced.
///
/// Thread safety: none.
class UnevenLoadCluster {
 public:
  /// What the callers of one gateway have got.
  struct Served {
    int submitted = 0;
    int completed = 0;
    /// Completed within the objective.
    int in_time = 0;
    int refused = 0;
  };

  enum class Order {
    /// Each gateway chooses the allocator with the least backlog, where the tasks stay.
    kFixed,
    /// Gateways choose at random between equally good allocators; the tasks stay there.
    kSpread,
    /// As `kSpread`, and waiting work moves to free capacity.
    kMoving,
  };

  /// `capacities` are the numbers of tasks that the allocators can run.
  UnevenLoadCluster(int gateway_count, const std::vector<int64_t>& capacities,
                    Order order = Order::kMoving);

  /// Submits a job whose objective is 80 ms beside its run time.
  void Submit(size_t gateway, int64_t task_count, base::Duration run_time);
  void Advance(int milliseconds_to_pass);

  /// Returns the sum of what the callers of all gateways have got.
  Served Total() const;

  std::vector<std::unique_ptr<FakeAllocator>> allocators;
  std::vector<Served> served_by_gateway;
  int recall_count = 0;
  /// Messages between gateways and allocators, without reports.
  int message_count = 0;

 private:
  struct Gateway {
    std::unique_ptr<AllocatorSelector> selector;
    std::unique_ptr<JobDispatcher> dispatcher;
  };

  void AddAllocator(int64_t capacity);
  void AddGateway();
  void Report(size_t allocator);
  void SendLater(std::function<void()> message) {
    this->messages.emplace(this->clock.Now() + kMessageDelay, std::move(message));
  }
  void Send(std::function<void()> message) {
    ++this->message_count;
    this->SendLater(std::move(message));
  }
  Gateway& GatewayOf(const base::HostId& host) {
    return this->gateways.at(std::stoul(host.value()));
  }
  FakeAllocator& AllocatorOf(const base::HostId& host) {
    return *this->allocators.at(std::stoul(host.value()));
  }

  static constexpr base::Duration kMessageDelay = std::chrono::milliseconds(2);

  Order order;
  base::ManualClock clock;
  int64_t now_ms = 0;
  uint64_t next_job = 1;
  std::mt19937_64 random_generator{1};
  std::vector<Gateway> gateways;
  std::multimap<base::TimePoint, std::function<void()>> messages;
};

}  // namespace sapphirecrank::gateway
