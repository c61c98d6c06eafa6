#include "clusterhost/stop_budget.h"

#include <CppUTest/TestHarness.h>

using namespace sapphirecrank;  // NOLINT(google-build-using-namespace)
using clusterhost::StopBudget;
using std::chrono::milliseconds;

TEST_GROUP(StopBudget){};

// Guards against requests that are cut off because the process is killed before it has drained, or
// drains for less time than it has.
TEST(StopBudget, UsesTheTimeThatThePlatformAllows) {
  const StopBudget usual;
  CHECK(usual.RotationDelay() == milliseconds(2300));
  CHECK(usual.GatewayDrainTimeout() == milliseconds(2850));
  CHECK(usual.AllocatorDrainLimit() == milliseconds(4000));
  for (const int stop_time_ms : {100, 1000, 2000, 3000, 12000, 600000}) {
    const StopBudget budget{milliseconds(stop_time_ms)};
    CHECK(budget.RotationDelay() >= milliseconds(0));
    CHECK(budget.GatewayDrainTimeout() >= milliseconds(0));
    CHECK(budget.RotationDelay() + budget.GatewayDrainTimeout() < budget.stop_time);
    CHECK(budget.AllocatorDrainLimit() < budget.stop_time);
  }
}
