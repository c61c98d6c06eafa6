#include <CppUTest/TestHarness.h>

#include "tests/gateway/uneven_load_cluster.h"

using namespace sapphirecrank;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;

TEST_GROUP(UnevenLoad){};

// Pattern: one kind asks for several times its usual rate; all gateways choose the same allocator
// from the same report. Guards against refusing jobs where all gateways have sent them while the
// other allocators have free capacity, and against moving all of them to the same one again.
TEST(UnevenLoad, BurstThatAllGatewaysSendToOneAllocatorReachesTheOthers) {
  gateway::UnevenLoadCluster cluster(16, {64, 64, 64, 64});
  // All 256 tasks fit at once, but each gateway fills the same two allocators.
  for (size_t gateway = 0; gateway < 16; ++gateway) {
    cluster.Submit(gateway, 8, milliseconds(200));
    cluster.Submit(gateway, 8, milliseconds(200));
  }
  cluster.Advance(600);
  // Without recalls it is half of them.
  CHECK(cluster.Total().completed >= 28);
  CHECK(cluster.recall_count <= 40);
}

// Pattern: room appears at another allocator while a batch waits. Guards against a batch that waits
// behind the work of others for longer than 100 ms although room is known elsewhere.
TEST(UnevenLoad, WaitingBatchMovesToRoomThatAppearsElsewhere) {
  gateway::UnevenLoadCluster cluster(2, {8, 8});
  cluster.Submit(0, 8, milliseconds(60));
  cluster.Submit(0, 8, milliseconds(60));
  cluster.Advance(52);
  // Both allocators are full for 10 ms more. Two batches take the first that becomes free, and wait
  // for the same one.
  cluster.Submit(0, 8, milliseconds(60));
  cluster.Submit(1, 8, milliseconds(60));
  cluster.Advance(250);
  LONGS_EQUAL(4, cluster.Total().completed);
}

// Pattern: an allocator is emptied under load. Guards against jobs that fail or are refused because
// their tasks wait at an allocator that may not start them any more.
TEST(UnevenLoad, JobsOfAnEmptiedAllocatorAreServedByTheOthers) {
  gateway::UnevenLoadCluster cluster(4, {16, 64, 64});
  // Fills the first allocator, so that the tasks of further jobs wait there.
  for (size_t gateway = 0; gateway < 4; ++gateway) {
    cluster.Submit(gateway, 8, milliseconds(60));
    cluster.Submit(gateway, 8, milliseconds(60));
  }
  cluster.Advance(10);
  for (auto& allocator : cluster.allocators) {
    if (allocator->Report(base::TimePoint()).service_capacities[0].waiting_task_count >
        base::TaskCount(0)) {
      allocator->Evacuate();
    }
  }
  cluster.Advance(300);
  LONGS_EQUAL(8, cluster.Total().completed);
}
