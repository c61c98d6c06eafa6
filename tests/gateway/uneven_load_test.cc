#include <CppUTest/TestHarness.h>

#include "tests/gateway/uneven_load_cluster.h"

using namespace sapphirecrank;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;

TEST_GROUP(UnevenLoad){};

// Pattern: one kind asks for several times its usual rate; all gateways choose the same allocator
// from the same report. Guards against filling one allocator several times over while the others
// stay free: half of the capacity would be enough.
TEST(UnevenLoad, GatewaysSpreadABurstOverTheAllocatorsOfTheSameReport) {
  gateway::UnevenLoadCluster cluster(16, {64, 64, 64, 64},
                                     gateway::UnevenLoadCluster::Order::kSpread);
  for (size_t gateway = 0; gateway < 16; ++gateway) {
    cluster.Submit(gateway, 8, milliseconds(200));
  }
  cluster.Advance(600);
  LONGS_EQUAL(16, cluster.Total().in_time);
}

// Pattern: one kind asks for several times its usual rate. Guards against refusing jobs where too
// many gateways have sent them while other allocators have free capacity, and against moving all of
// them to the same one.
TEST(UnevenLoad, BurstThatFillsSomeAllocatorsReachesTheOthers) {
  gateway::UnevenLoadCluster cluster(16, {64, 64, 64, 64});
  // All 256 tasks fit at once if they are spread evenly.
  for (size_t gateway = 0; gateway < 16; ++gateway) {
    cluster.Submit(gateway, 8, milliseconds(200));
    cluster.Submit(gateway, 8, milliseconds(200));
  }
  cluster.Advance(600);
  // Without recalls it is 26 of 32.
  CHECK(cluster.Total().completed >= 29);
  CHECK(cluster.recall_count <= 32);
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
  // All gateways choose the same allocators, so that tasks wait there.
  gateway::UnevenLoadCluster cluster(4, {16, 64, 64}, gateway::UnevenLoadCluster::Order::kFixed);
  for (size_t gateway = 0; gateway < 4; ++gateway) {
    cluster.Submit(gateway, 8, milliseconds(60));
    cluster.Submit(gateway, 8, milliseconds(60));
  }
  cluster.Advance(10);
  int emptied_count = 0;
  for (auto& allocator : cluster.allocators) {
    if (allocator->Report(base::TimePoint()).service_capacities[0].waiting_task_count >
        base::TaskCount(0)) {
      allocator->Evacuate();
      ++emptied_count;
    }
  }
  LONGS_EQUAL(1, emptied_count);
  cluster.Advance(300);
  LONGS_EQUAL(8, cluster.Total().completed);
}
