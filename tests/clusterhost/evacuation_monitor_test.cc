#include "clusterhost/evacuation_monitor.h"

#include <CppUTest/TestHarness.h>

#include <map>
#include <string>
#include <vector>

#include "base/manual_clock.h"
#include "observability/allocator_metrics.h"
#include "observability/logger.h"

using namespace sapphirecrank;  // NOLINT(google-build-using-namespace)
using base::DataCentreId;
using base::HostId;
using cluster::EvacuationOrder;
using clusterhost::ProposalOutcome;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(EvacuationMonitor) {
  base::ManualClock clock;
  std::vector<std::string> lines;
  std::map<DataCentreId, size_t> run_counts;
  observability::Logger logger{
      observability::LogLevel::kInfo,
      {clock.AsClock(), [this](const std::string& line) { this->lines.push_back(line); }}};
  observability::AllocatorMetrics metrics;
  clusterhost::EvacuationMonitor monitor{
      {clock.AsClock(), [this] { return this->run_counts; }}, logger, metrics};
  cluster::EvacuationState state;

  static EvacuationOrder MakeOrder(EvacuationOrder::Kind kind, const char* data_centre) {
    return {kind, DataCentreId(data_centre), base::TimeOfDay(seconds(1700000000)), HostId("h1:1")};
  }

  void Apply(EvacuationOrder::Kind kind, const char* data_centre) {
    this->state.Apply(MakeOrder(kind, data_centre));
    this->monitor.OnStateChange(this->state);
  }

  size_t CountLines(const std::string& text) const {
    size_t count = 0;
    for (const std::string& line : this->lines) {
      count += line.find(text) != std::string::npos ? 1 : 0;
    }
    return count;
  }

  bool MetricsContain(const std::string& text) const {
    return this->metrics.PrometheusText().find(text) != std::string::npos;
  }
};

// Guards against a log that doesn't show from when on a host acted on an evacuation, and against
// lines for views and configurations that change nothing about evacuations.
TEST(EvacuationMonitor, LogsEachRevisionOnce) {
  this->monitor.OnStateChange(this->state);
  LONGS_EQUAL(0, this->lines.size());
  this->Apply(EvacuationOrder::Kind::kStart, "x");
  this->monitor.OnStateChange(this->state);
  this->Apply(EvacuationOrder::Kind::kStart, "y");
  LONGS_EQUAL(1, this->CountLines("revision=1 data_centres=x"));
  LONGS_EQUAL(1, this->CountLines("revision=2 data_centres=x,y"));
  LONGS_EQUAL(2, this->CountLines("evacuation state applied"));
}

// Guards against metrics that show an evacuation that has ended, or no runs while some are left.
TEST(EvacuationMonitor, MetricsShowEvacuationsAndRunsLeft) {
  this->run_counts = {{DataCentreId("x"), 3}, {DataCentreId("y"), 5}};
  this->Apply(EvacuationOrder::Kind::kStart, "x");
  this->monitor.UpdateMetrics();
  CHECK_TRUE(this->MetricsContain(R"(sapphirecrank_evacuation_runs_left{data_centre="x"} 3)"));
  CHECK_TRUE(this->MetricsContain(R"(sapphirecrank_evacuated_since_seconds{data_centre="x"} 17)"));
  CHECK_FALSE(this->MetricsContain(R"(data_centre="y")"));
  this->run_counts.clear();
  this->monitor.UpdateMetrics();
  CHECK_TRUE(this->MetricsContain(R"(sapphirecrank_evacuation_runs_left{data_centre="x"} 3)"));
  this->clock.Advance(seconds(1));
  this->monitor.UpdateMetrics();
  CHECK_TRUE(this->MetricsContain(R"(sapphirecrank_evacuation_runs_left{data_centre="x"} 0)"));
  this->Apply(EvacuationOrder::Kind::kFinish, "x");
  this->monitor.UpdateMetrics();
  CHECK_FALSE(this->MetricsContain(R"(data_centre="x")"));
}

// Guards against orders whose outcome can't be found in log and metrics.
TEST(EvacuationMonitor, LogsEachAnsweredOrder) {
  const EvacuationOrder order = MakeOrder(EvacuationOrder::Kind::kStart, "x");
  this->monitor.OnOrderAnswered(order, ProposalOutcome::kCommitted, HostId("h1:1"));
  this->monitor.OnOrderAnswered(order, ProposalOutcome::kNotLeader, HostId("h2:1"));
  this->monitor.OnOrderAnswered(order, ProposalOutcome::kUnknown, HostId());
  LONGS_EQUAL(1, this->CountLines("data_centre=x order=start outcome=committed leader=h1:1"));
  LONGS_EQUAL(1, this->CountLines("outcome=other_leader leader=h2:1"));
  LONGS_EQUAL(1, this->CountLines("the group has no leader"));
  CHECK_TRUE(this->MetricsContain(
      R"(sapphirecrank_evacuation_orders_total{order="start",outcome="not_confirmed"} 1)"));
}

// Guards against a host that starts nothing without a line that says why, and against a line at
// each tick.
TEST(EvacuationMonitor, LogsWhenStartsEndAndBeginAgain) {
  const base::TimePoint confirmed_at = this->clock.Now();
  this->monitor.OnStartLimit(base::TimePoint(), base::TimePoint());
  LONGS_EQUAL(0, this->lines.size());
  for (int i = 0; i < 100; ++i) {
    this->monitor.OnStartLimit(confirmed_at + seconds(2), confirmed_at);
    this->clock.Advance(milliseconds(50));
  }
  LONGS_EQUAL(1, this->CountLines("starting runs; the evacuations are confirmed"));
  LONGS_EQUAL(1, this->CountLines("starting no runs"));
  this->monitor.OnStartLimit(this->clock.Now() + seconds(2), this->clock.Now());
  LONGS_EQUAL(2, this->CountLines("starting runs; the evacuations are confirmed"));
}
