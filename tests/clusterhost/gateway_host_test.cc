#include "clusterhost/gateway_host.h"

#include <CppUTest/TestHarness.h>

#include <future>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "clusterhost/peer_setup.h"
#include "observability/logger.h"
#include "peers/peer_network.h"
#include "tests/support/free_port.h"

using namespace sapphirecrank;  // NOLINT(google-build-using-namespace)
using clusterhost::ClusterHostSettings;
using clusterhost::GatewayHost;
using gateway::JobResult;
using std::chrono::milliseconds;

namespace {

// Reached only if a test fails.
constexpr int kMaximumPolls = 500;

ClusterHostSettings MakeHostSettings(const std::string& address) {
  ClusterHostSettings settings;
  settings.name = address;
  settings.data_centre = base::DataCentreId("x");
  settings.incarnation = base::Incarnation(1);
  settings.advertised_peer_address = base::NetworkAddress(address);
  return settings;
}

/// Returns a job of two tasks.
gateway::Job MakeJob(uint64_t number) {
  gateway::Job job;
  job.id = base::SubmissionId("job" + std::to_string(number));
  job.service = base::ServiceId("s");
  job.latency_objective = std::chrono::seconds(1);
  job.time_left = std::chrono::seconds(2);
  gateway::JobStep step;
  step.task_count = base::TaskCount(2);
  job.steps = {step};
  return job;
}

/// Speaks the protocol of an allocator. It reports capacity, and returns the first task of each
/// batch or reports the batch as completed.
class StandInAllocator {
 public:
  StandInAllocator(const std::string& address, bool returns_tasks)
      : returns_tasks(returns_tasks),
        network(clusterhost::MakePeerNetworkSettings(MakeHostSettings(address)),
                this->MakeHooks()) {
    CHECK_TRUE(this->network.Start().has_value());
  }
  ~StandInAllocator() { this->network.Stop(); }

  void Report(const base::HostId& gateway, int64_t free) {
    runs::CapacityReport report;
    report.data_centre = base::DataCentreId("x");
    report.accepts_recalls = true;
    runs::CapacityReport::ServiceCapacity capacity;
    capacity.service = base::ServiceId("s");
    capacity.free_task_capacity = base::TaskCount(free);
    capacity.total_task_capacity = base::TaskCount(10);
    report.service_capacities = {capacity};
    (void)this->network.SendReliably(gateway, report);
  }

  std::vector<runs::TaskBatch> batches() {
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->received_batches;
  }

 private:
  peers::PeerNetwork::Hooks MakeHooks() {
    peers::PeerNetwork::Hooks hooks;
    hooks.now = base::SteadyClock();
    hooks.on_message = [this](const base::HostId& from, const protocol::Message& message) {
      if (const auto* batch = std::get_if<runs::TaskBatch>(&message)) {
        this->OnBatch(from, *batch);
      }
    };
    hooks.on_peer_up = [](const base::HostId&, base::Incarnation) {};
    hooks.on_peer_lost = [](const base::HostId&) {};
    hooks.on_session_reset = [](const base::HostId&) {};
    hooks.on_heartbeat_acknowledged = [](const base::HostId&, base::TimePoint) {};
    hooks.make_heartbeat = [] { return protocol::Heartbeat(); };
    hooks.on_connection_error = [](const base::HostId&, const std::string&) {};
    return hooks;
  }

  void OnBatch(const base::HostId& gateway, const runs::TaskBatch& batch) {
    {
      std::lock_guard<std::mutex> lock(this->mutex);
      this->received_batches.push_back(batch);
    }
    if (this->returns_tasks) {
      runs::ReturnedTasks returned;
      returned.key = batch.key;
      returned.tasks = {{batch.tasks[0].key, base::RunNumber(4)}};
      returned.may_have_run = true;
      returned.reason = "evacuated";
      (void)this->network.SendReliably(gateway, returned);
    }
    (void)this->network.SendReliably(
        gateway, runs::BatchResult{batch.key, runs::BatchResult::Outcome::kCompleted, "test"});
  }

  bool returns_tasks;
  std::mutex mutex;
  std::vector<runs::TaskBatch> received_batches;
  peers::PeerNetwork network;
};

}  // namespace

TEST_GROUP(GatewayHost){};

// Guards against returned tasks that reach the gateway's process but not its dispatcher, and
// against moves that can't be seen in the metrics.
TEST(GatewayHost, PlacesReturnedTasksWithAnotherAllocator) {
  const std::string gateway_address = testing::FreeLoopbackAddress();
  const std::string first_address = testing::FreeLoopbackAddress();
  const std::string second_address = testing::FreeLoopbackAddress();
  StandInAllocator first(first_address, true);
  StandInAllocator second(second_address, false);
  observability::Logger logger{observability::LogLevel::kError,
                               observability::Logger::StandardOutputHooks()};
  ClusterHostSettings settings = MakeHostSettings(gateway_address);
  settings.seeds = {base::NetworkAddress(first_address), base::NetworkAddress(second_address)};
  GatewayHost gateway(
      settings,
      [](const cluster::ConfigurationRecord&) -> base::Result<cluster::Catalog> {
        return cluster::Catalog();
      },
      logger);
  CHECK_TRUE(gateway.Start().has_value());
  // Jobs are refused, or end as unfinished, until the gateway knows both allocators.
  bool is_completed = false;
  for (uint64_t i = 1; i <= kMaximumPolls && !is_completed; ++i) {
    // Only the first allocator has room for both tasks.
    first.Report(base::HostId(gateway_address), 10);
    second.Report(base::HostId(gateway_address), 1);
    std::this_thread::sleep_for(milliseconds(20));
    std::promise<JobResult> result;
    gateway.job_dispatcher().Submit(
        MakeJob(i), i, [&result](const JobResult& received) { result.set_value(received); });
    const bool is_job_completed =
        result.get_future().get().outcome == JobResult::Outcome::kCompleted;
    const std::vector<runs::TaskBatch> batches = second.batches();
    is_completed = is_job_completed && !batches.empty() &&
                   batches.back().first_run_number == base::RunNumber(4);
  }
  CHECK_TRUE(is_completed);
  const std::vector<runs::TaskBatch> placed = first.batches();
  const std::vector<runs::TaskBatch> placed_again = second.batches();
  LONGS_EQUAL(2, placed.back().tasks.size());
  CHECK_TRUE(placed.back().can_be_returned);
  LONGS_EQUAL(1, placed_again.back().tasks.size());
  CHECK(placed_again.back().key.job == placed.back().key.job);
  CHECK(placed_again.back().first_run_number == base::RunNumber(4));
  CHECK(gateway.MetricsText().find(
            R"(sapphirecrank_batches_placed_again_total{cause="returned"})") != std::string::npos);
}
