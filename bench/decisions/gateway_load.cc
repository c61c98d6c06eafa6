#include "bench/decisions/gateway_load.h"

#include <fmt/core.h>

#include <array>
#include <random>
#include <string>
#include <vector>

#include "tests/gateway/uneven_load_cluster.h"

namespace sapphirecrank::bench {

namespace {

using gateway::UnevenLoadCluster;
using std::chrono::milliseconds;

constexpr int kGatewayCount = 16;
constexpr int64_t kAllocatorCapacity = 64;
constexpr size_t kAllocatorCount = 6;
constexpr int kDurationMs = 20000;
constexpr int kBurstStartMs = 8000;
constexpr int kBurstEndMs = 12000;

/// Jobs of one kind: short wide ones, long ones and small ones, as callers with hard load send
/// them.
struct JobKind {
  int64_t task_count;
  int run_time_ms;
  /// Share of the demand, in task time.
  double share;
};

constexpr std::array<JobKind, 3> kJobKinds = {{{8, 60, 0.25}, {4, 800, 0.3}, {2, 180, 0.45}}};

struct GatewayScenario {
  std::string name;
  /// Demand as a share of the capacity of all allocators.
  double load;
  /// Factor of the rate of the first kind during the burst.
  double burst_factor;
  /// Factor of the rate of the first four gateways during the burst.
  double hot_gateway_factor;
};

const char* OrderName(UnevenLoadCluster::Order order) {
  switch (order) {
    case UnevenLoadCluster::Order::kFixed:
      return "fixed";
    case UnevenLoadCluster::Order::kSpread:
      return "spread";
    case UnevenLoadCluster::Order::kMoving:
      return "moving";
  }
  return "fixed";
}

double JainsIndex(const UnevenLoadCluster& cluster) {
  double sum = 0;
  double sum_of_squares = 0;
  for (const UnevenLoadCluster::Served& served : cluster.served_by_gateway) {
    const double share = static_cast<double>(served.in_time) / served.submitted;
    sum += share;
    sum_of_squares += share * share;
  }
  return sum * sum / (kGatewayCount * sum_of_squares);
}

void RunGatewayScenario(const GatewayScenario& scenario, UnevenLoadCluster::Order order,
                        uint64_t seed) {
  UnevenLoadCluster cluster(kGatewayCount,
                            std::vector<int64_t>(kAllocatorCount, kAllocatorCapacity), order);
  std::mt19937_64 random_generator(seed);
  constexpr double kTotalCapacity = static_cast<double>(kAllocatorCapacity) * kAllocatorCount;
  for (int now = 0; now < kDurationMs; ++now) {
    const bool is_burst = now >= kBurstStartMs && now < kBurstEndMs;
    for (size_t gateway = 0; gateway < kGatewayCount; ++gateway) {
      for (size_t kind = 0; kind < kJobKinds.size(); ++kind) {
        const JobKind& job = kJobKinds[kind];
        double rate_per_ms = scenario.load * kTotalCapacity * job.share / kGatewayCount /
                             static_cast<double>(job.task_count * job.run_time_ms);
        rate_per_ms *= is_burst && kind == 0 ? scenario.burst_factor : 1;
        rate_per_ms *= is_burst && gateway < 4 ? scenario.hot_gateway_factor : 1;
        const int count = std::poisson_distribution<int>(rate_per_ms)(random_generator);
        for (int i = 0; i < count; ++i) {
          cluster.Submit(gateway, job.task_count, milliseconds(job.run_time_ms));
        }
      }
    }
    cluster.Advance(1);
  }
  cluster.Advance(2000);
  const UnevenLoadCluster::Served total = cluster.Total();
  fmt::print(
      "gateways {:<20} {:<6} jobs {:6} in time {:.4f} refused {:.4f} messages per job {:.3f} "
      "recalls {:5} Jain {:.4f}\n",
      scenario.name, OrderName(order), total.submitted,
      static_cast<double>(total.in_time) / total.submitted,
      static_cast<double>(total.refused) / total.submitted,
      static_cast<double>(cluster.message_count) / total.submitted, cluster.recall_count,
      JainsIndex(cluster));
}

}  // namespace

void CompareGatewayLoads(uint64_t seed) {
  const std::vector<GatewayScenario> scenarios = {{"steady 0.7", 0.7, 1, 1},
                                                  {"steady 0.95", 0.95, 1, 1},
                                                  {"burst of one kind", 0.7, 3, 1},
                                                  {"hot gateways", 0.6, 1, 3}};
  for (const GatewayScenario& scenario : scenarios) {
    RunGatewayScenario(scenario, UnevenLoadCluster::Order::kFixed, seed);
    RunGatewayScenario(scenario, UnevenLoadCluster::Order::kSpread, seed);
    RunGatewayScenario(scenario, UnevenLoadCluster::Order::kMoving, seed);
  }
}

}  // namespace sapphirecrank::bench
