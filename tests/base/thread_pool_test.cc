#include "base/thread_pool.h"

#include <CppUTest/TestHarness.h>

#include <memory>
#include <vector>

using sapphirecrank::base::ThreadPool;

TEST_GROUP(ThreadPool){};

// Guards against results of one job that overtake each other, and against work dropped at the end.
TEST(ThreadPool, SameKeyRunsInOrderAndNothingIsDropped) {
  std::vector<int> seen;
  auto pool = std::make_unique<ThreadPool>("test", 3);
  for (int i = 0; i < 1000; ++i) {
    pool->Enqueue(7, [&seen, i] { seen.push_back(i); });
  }
  pool.reset();
  LONGS_EQUAL(1000, seen.size());
  for (int i = 0; i < 1000; ++i) {
    LONGS_EQUAL(i, seen[i]);
  }
}

// Guards against a pool that its own functions can't use while it is stopped, and against functions
// that run after that.
TEST(ThreadPool, StopRunsWhatItsFunctionsQueueAndNothingLater) {
  std::vector<int> seen;
  ThreadPool pool("test", 1);
  pool.Enqueue(0, [&] {
    seen.push_back(1);
    pool.Enqueue(0, [&seen] { seen.push_back(2); });
  });
  pool.Stop();
  pool.Enqueue(0, [&seen] { seen.push_back(3); });
  pool.Stop();
  LONGS_EQUAL(2, seen.size());
}
