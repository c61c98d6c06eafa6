#include "limits/target_limiter.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <algorithm>
#include <atomic>
#include <string>
#include <vector>

#include "tests/limits/run_on_threads.h"

namespace sapphirecrank::limits {

using base::ConnectionCount;
using base::SlotCount;
using std::chrono::milliseconds;

namespace {

ResponseSample SampleWithSlowdown(int slowdown) {
  return {milliseconds(100) * slowdown, milliseconds(100)};
}

}  // namespace

TEST_GROUP(TargetLimiter) {
  const base::TargetId target{"runner-1"};
  AutomaticActions actions;
  TargetLimiter limiter{{[this] { return actions; }}};

  void setup() override { limiter.UpdateTarget(target, SlotCount(8), ConnectionCount(64)); }

  int AcquireAll() {
    int acquired = 0;
    // Stops at a number above every bound, so that a missing bound fails the test instead of
    // hanging it.
    while (acquired < 100 && limiter.TryAcquireCall(target)) {
      ++acquired;
    }
    return acquired;
  }

  void RunCalls(int call_count, const ResponseSample& sample) {
    for (int i = 0; i < call_count; ++i) {
      AcquireAll();
      limiter.ReleaseCall(target, sample);
    }
    while (limiter.CallsInFlight(target) > SlotCount(0)) {
      limiter.ReleaseCall(target, {});
    }
  }
};

// Guards against calls beyond slots or connections while throttling is disabled, and against
// calls to a removed target.
TEST(TargetLimiter, SlotsAndConnectionsAreAlwaysEnforced) {
  actions.throttling = false;
  LONGS_EQUAL(8, AcquireAll());
  limiter.UpdateTarget(target, SlotCount(8), ConnectionCount(4));
  limiter.ReleaseCall(target, {});
  CHECK(!limiter.TryAcquireCall(target));
  limiter.RemoveTarget(target);
  CHECK(!limiter.TryAcquireCall(target));
  LONGS_EQUAL(7, limiter.CallsInFlight(target).value());
  limiter.UpdateTarget(target, SlotCount(8), ConnectionCount(64));
  LONGS_EQUAL(1, AcquireAll());
}

// Guards against a limit that stays high while concurrent calls slow each other down, one that
// stays low after the target has recovered, and one that shrinks because of a single straggler.
TEST(TargetLimiter, LimitFollowsTheResponseTime) {
  RunCalls(50, SampleWithSlowdown(1));
  LONGS_EQUAL(8, limiter.LimitOf(target).value());
  RunCalls(1, SampleWithSlowdown(30));
  LONGS_EQUAL(8, limiter.LimitOf(target).value());
  RunCalls(100, SampleWithSlowdown(4));
  CHECK(limiter.LimitOf(target) <= SlotCount(3));
  CHECK(limiter.LimitOf(target) >= SlotCount(1));
  RunCalls(200, SampleWithSlowdown(1));
  LONGS_EQUAL(8, limiter.LimitOf(target).value());
}

// Guards against throttling while the preset disables it, and against counters that omit it.
TEST(TargetLimiter, DisabledThrottlingIsOnlyCounted) {
  RunCalls(50, SampleWithSlowdown(1));
  RunCalls(100, SampleWithSlowdown(4));
  const auto throttled = limiter.Counters().throttled;
  CHECK(throttled > 0);
  actions.throttling = false;
  LONGS_EQUAL(8, AcquireAll());
  LONGS_EQUAL(throttled, limiter.Counters().throttled);
  CHECK(limiter.Counters().would_have_throttled >= 5);
}

// Guards against counts below zero or above the upper bound, and against a limit outside of 1 to
// the upper bound, for any order of announcements, calls, ends and removals.
TEST(TargetLimiter, CountsStayWithinBounds) {
  CHECK(rc::check([this] {
    TargetLimiter local_limiter({[] { return AutomaticActions(); }});
    int upper_bound = 0;
    int calls_in_flight = 0;
    const int step_count = *rc::gen::inRange(1, 200);
    for (int step = 0; step < step_count; ++step) {
      const int event = *rc::gen::weightedElement<int>({{1, 0}, {1, 1}, {20, 2}, {10, 3}});
      if (event == 0) {
        upper_bound = *rc::gen::inRange(0, 12);
        local_limiter.UpdateTarget(target, SlotCount(upper_bound), ConnectionCount(10));
        upper_bound = std::min(upper_bound, 10);
      } else if (event == 1) {
        local_limiter.RemoveTarget(target);
        upper_bound = 0;
      } else if (event == 2) {
        const bool acquired = local_limiter.TryAcquireCall(target);
        RC_ASSERT((!acquired || calls_in_flight < upper_bound));
        calls_in_flight += acquired ? 1 : 0;
      } else {
        ResponseSample sample = SampleWithSlowdown(*rc::gen::inRange(0, 40));
        sample.is_overload = *rc::gen::inRange(0, 5) == 0;
        local_limiter.ReleaseCall(target, sample);
        calls_in_flight = std::max(0, calls_in_flight - 1);
      }
      RC_ASSERT(local_limiter.CallsInFlight(target) == SlotCount(calls_in_flight));
      RC_ASSERT(local_limiter.LimitOf(target) >= SlotCount(std::min(1, upper_bound)));
      RC_ASSERT(local_limiter.LimitOf(target) <= SlotCount(upper_bound));
    }
  }));
}

// Guards against data races (thread sanitizer) and two threads that both take the last slot.
TEST(TargetLimiter, ConcurrentCallsKeepTheBound) {
  std::atomic<int> above_bound_count{0};
  RunOnThreads([&](int thread) {
    for (int i = 0; i < 2000; ++i) {
      const base::TargetId target("runner-" + std::to_string(i % 10));
      if (thread == 0 && i < 10) {
        limiter.UpdateTarget(target, SlotCount(2), ConnectionCount(64));
      }
      if (limiter.TryAcquireCall(target)) {
        above_bound_count += limiter.CallsInFlight(target) > SlotCount(8) ? 1 : 0;
        limiter.ReleaseCall(target, SampleWithSlowdown(1));
      }
    }
  });
  LONGS_EQUAL(0, above_bound_count.load());
  LONGS_EQUAL(0, limiter.CallsInFlight(target).value());
}

}  // namespace sapphirecrank::limits
