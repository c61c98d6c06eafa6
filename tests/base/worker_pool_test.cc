#include "base/worker_pool.h"

#include <CppUTest/TestHarness.h>

#include <memory>
#include <vector>

using sapphirecrank::base::WorkerPool;

TEST_GROUP(WorkerPool){};

// Guards against results of one job that overtake each other, and against work dropped at the end.
TEST(WorkerPool, SameKeyRunsInOrderAndNothingIsDropped) {
  std::vector<int> seen;
  auto pool = std::make_unique<WorkerPool>("test", 3);
  for (int i = 0; i < 1000; ++i) {
    pool->Run(7, [&seen, i] { seen.push_back(i); });
  }
  pool.reset();
  LONGS_EQUAL(1000, seen.size());
  for (int i = 0; i < 1000; ++i) {
    LONGS_EQUAL(i, seen[i]);
  }
}
