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
