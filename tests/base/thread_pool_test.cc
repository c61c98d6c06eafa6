#include "base/thread_pool.h"

#include <CppUTest/TestHarness.h>

#include <memory>
#include <vector>

using sapphirecrank::base::ThreadPool;

TEST_GROUP(ThreadPool){};

// Guards against functions with the same key that run out of order, for example results of one job,
// and against queued functions that are dropped when the pool is destroyed.
TEST(ThreadPool, SameKeyRunsInOrderAndNothingIsDropped) {
  std::vector<int> executed;
  auto pool = std::make_unique<ThreadPool>("test", 3);
  for (int i = 0; i < 1000; ++i) {
    pool->Enqueue(7, [&executed, i] { executed.push_back(i); });
  }
  pool.reset();
  LONGS_EQUAL(1000, executed.size());
  for (int i = 0; i < 1000; ++i) {
    LONGS_EQUAL(i, executed[i]);
  }
}

// Guards against functions that can't queue further functions while the pool is stopped, and
// against functions that run after the stop.
TEST(ThreadPool, StopRunsQueuedFunctionsAndNoLaterOnes) {
  std::vector<int> executed;
  ThreadPool pool("test", 1);
  pool.Enqueue(0, [&] {
    executed.push_back(1);
    pool.Enqueue(0, [&executed] { executed.push_back(2); });
  });
  pool.Stop();
  pool.Enqueue(0, [&executed] { executed.push_back(3); });
  pool.Stop();
  LONGS_EQUAL(2, executed.size());
}
