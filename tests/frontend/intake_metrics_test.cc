#include "frontend/intake_metrics.h"

#include <CppUTest/TestHarness.h>

using namespace sapphirecrank;  // NOLINT(google-build-using-namespace)

TEST_GROUP(IntakeMetrics){};

// Guards against counters that appear under the name of another reason.
TEST(IntakeMetrics, NamesEachReason) {
  limits::IntakeUsage usage;
  usage.bytes = base::ByteCount(10);
  usage.maximum_bytes = base::ByteCount(20);
  usage.closed.at(static_cast<size_t>(limits::IntakeReason::kSlowBody)) = 3;
  usage.refused.at(static_cast<size_t>(limits::IntakeReason::kBodySize)) = 4;
  const std::string text = frontend::IntakeMetricsText(usage);
  STRCMP_CONTAINS("\nsapphirecrank_intake_bytes 10\n", text.c_str());
  STRCMP_CONTAINS("\nsapphirecrank_intake_bytes_limit 20\n", text.c_str());
  STRCMP_CONTAINS("\nsapphirecrank_intake_closed_total{reason=\"slow_body\"} 3\n", text.c_str());
  STRCMP_CONTAINS("\nsapphirecrank_intake_closed_total{reason=\"slow_response\"} 0\n",
                  text.c_str());
  STRCMP_CONTAINS("\nsapphirecrank_intake_refused_total{reason=\"body_size\"} 4\n", text.c_str());
}
