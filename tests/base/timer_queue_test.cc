#include "base/timer_queue.h"

#include <CppUTest/TestHarness.h>

#include <future>
#include <vector>

using sapphirecrank::base::TimerQueue;
using std::chrono::milliseconds;

TEST_GROUP(TimerQueue){};

// Guards against a timer that runs after a later one because the later one was added first.
TEST(TimerQueue, EarlierTimerRunsFirst) {
  std::vector<int> order;
  std::promise<void> done;
  TimerQueue timers("test");
  timers.RunAfter(milliseconds(40), [&] {
    order.push_back(2);
    done.set_value();
  });
  timers.RunAfter(milliseconds(1), [&] { order.push_back(1); });
  done.get_future().wait();
  LONGS_EQUAL(1, order.front());
  LONGS_EQUAL(2, order.size());
}
