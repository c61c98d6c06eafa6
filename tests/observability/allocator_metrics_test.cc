#include "observability/allocator_metrics.h"

#include <CppUTest/TestHarness.h>

#include <string>

using namespace sapphirecrank;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;

TEST_GROUP(AllocatorMetrics){};

// Guards against metrics that don't distinguish unresponsive targets from slow ones.
TEST(AllocatorMetrics, CallsAreCountedByKindAndResponse) {
  observability::AllocatorMetrics metrics;
  metrics.OnTargetCall("start", true, milliseconds(3));
  metrics.OnTargetCall("start", true, milliseconds(4));
  metrics.OnTargetCall("look", false, milliseconds(650));
  const std::string text = metrics.PrometheusText();
  CHECK(text.find(R"(sapphirecrank_target_call_seconds_count{answered="yes",call="start"} 2)") !=
        std::string::npos);
  CHECK(text.find(R"(sapphirecrank_target_call_seconds_count{answered="no",call="look"} 1)") !=
        std::string::npos);
}

// Guards against a finished evacuation that monitoring still shows, and against one that disturbs
// another.
TEST(AllocatorMetrics, EvacuationsAreShownUntilTheyEnd) {
  observability::AllocatorMetrics metrics;
  const base::TimeOfDay since(std::chrono::seconds(16));
  metrics.SetEvacuation("x", since, 3);
  metrics.SetEvacuation("y", since, 0);
  metrics.SetEvacuation("x", since, 2);
  CHECK(metrics.PrometheusText().find(R"(sapphirecrank_evacuation_runs_left{data_centre="x"} 2)") !=
        std::string::npos);
  metrics.RemoveEvacuation("x");
  metrics.RemoveEvacuation("z");
  const std::string text = metrics.PrometheusText();
  CHECK(text.find(R"(data_centre="x")") == std::string::npos);
  CHECK(text.find(R"(data_centre="z")") == std::string::npos);
  CHECK(text.find(R"(sapphirecrank_evacuated_since_seconds{data_centre="y"} 16)") !=
        std::string::npos);
}

// Guards against batch results and decisions that appear only in the log.
TEST(AllocatorMetrics, BatchResultsAndDecisionsAreCounted) {
  observability::AllocatorMetrics metrics;
  metrics.OnBatchEnd("not_run");
  metrics.OnRunDecision("run failed");
  metrics.OnRunDecision("run failed");
  const std::string text = metrics.PrometheusText();
  CHECK(text.find(R"(sapphirecrank_part_ends_total{outcome="not_run"} 1)") != std::string::npos);
  CHECK(text.find(R"(sapphirecrank_run_decisions_total{decision="run failed"} 2)") !=
        std::string::npos);
}
