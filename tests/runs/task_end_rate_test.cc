#include "runs/task_end_rate.h"

#include <CppUTest/TestHarness.h>

using namespace sapphirecrank;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;

TEST_GROUP(TaskEndRate){};

// Guards against an expected wait that is based on a rate of long ago or on a single end.
TEST(TaskEndRate, MeasuresTheLastSecond) {
  runs::TaskEndRate rate;
  base::TimePoint now{std::chrono::seconds(100)};
  rate.RecordEnd(now);
  CHECK(rate.MeanInterval(now) == base::Duration(0));
  for (int i = 0; i < 500; ++i) {
    now += milliseconds(10);
    rate.RecordEnd(now);
  }
  CHECK(rate.MeanInterval(now) > milliseconds(9));
  CHECK(rate.MeanInterval(now) < milliseconds(11));
  CHECK(rate.MeanInterval(now + milliseconds(1000)) > milliseconds(20));
  CHECK(rate.MeanInterval(now + std::chrono::seconds(5)) == base::Duration(0));
}
