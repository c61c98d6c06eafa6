#include "observability/placement_metrics.h"

#include <CppUTest/TestHarness.h>

#include <string>

using namespace sapphirecrank;  // NOLINT(google-build-using-namespace)

TEST_GROUP(PlacementMetrics){};

// Guards against moves and recalls of batches that appear only in the log.
TEST(PlacementMetrics, MovesAreCountedByCauseAndRecallsBesideThem) {
  observability::PlacementMetrics metrics;
  metrics.OnBatchRecall();
  metrics.OnBatchMove("recalled");
  metrics.OnBatchMove("recalled");
  const std::string text = metrics.PrometheusText();
  CHECK(text.find("sapphirecrank_batch_recalls_total 1") != std::string::npos);
  CHECK(text.find(R"(sapphirecrank_batches_placed_again_total{cause="recalled"} 2)") !=
        std::string::npos);
}
