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

ResponseSample Stretched(int factor) { return {milliseconds(100) * factor, milliseconds(100)}; }

}  // namespace

TEST_GROUP(TargetLimiter) {
  const base::TargetId target{"runner-1"};
  AutomaticActions actions;
  TargetLimiter limiter{{[this] { return actions; }}};

  void setup() override { limiter.UpdateTarget(target, SlotCount(8), ConnectionCount(64)); }

  int AcquireAll() {
    int acquired = 0;
    // Stops at a number above each bound, so that a missing bound fails instead of hanging.
    while (acquired < 100 && limiter.TryAcquireCall(target)) {
      ++acquired;
    }
    return acquired;
  }

  void Run(int calls, const ResponseSample& sample) {
    for (int i = 0; i < calls; ++i) {
      AcquireAll();
      limiter.ReleaseCall(target, sample);
    }
    while (limiter.CallsInFlight(target) > SlotCount(0)) {
      limiter.ReleaseCall(target, {});
    }
  }
};

// Guards against calls beyond slots or connections, and against calls to a target that left.
TEST(TargetLimiter, SlotsAndConnectionsBindAlways) {
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

// Guards against a target that keeps all its calls while they slow each other down, one that stays
// throttled after it recovered, and a whole target throttled for one straggler.
TEST(TargetLimiter, LimitFollowsTheResponseTime) {
  Run(50, Stretched(1));
  LONGS_EQUAL(8, limiter.LimitOf(target).value());
  Run(1, Stretched(30));
  LONGS_EQUAL(8, limiter.LimitOf(target).value());
  Run(100, Stretched(4));
  CHECK(limiter.LimitOf(target) <= SlotCount(3));
  CHECK(limiter.LimitOf(target) >= SlotCount(1));
  Run(200, Stretched(1));
  LONGS_EQUAL(8, limiter.LimitOf(target).value());
}

// Guards against throttling while the preset switches it off, and against a status that doesn't
// show it.
TEST(TargetLimiter, SwitchedOffThrottlingIsOnlyCounted) {
  Run(50, Stretched(1));
  Run(100, Stretched(4));
  const auto throttled = limiter.Counters().throttled;
  CHECK(throttled > 0);
  actions.throttling = false;
  LONGS_EQUAL(8, AcquireAll());
  LONGS_EQUAL(throttled, limiter.Counters().throttled);
  CHECK(limiter.Counters().would_have_throttled >= 5);
}

// Guards against counts below zero or above the bound, and a limit outside of 1 to the bound, for
// any order of announcements, calls, ends and removals.
TEST(TargetLimiter, CountsStayWithinBounds) {
  CHECK(rc::check([this] {
    TargetLimiter tried({[] { return AutomaticActions(); }});
    int bound = 0;
    int in_flight = 0;
    const int steps = *rc::gen::inRange(1, 200);
    for (int step = 0; step < steps; ++step) {
      const int kind = *rc::gen::weightedElement<int>({{1, 0}, {1, 1}, {20, 2}, {10, 3}});
      if (kind == 0) {
        bound = *rc::gen::inRange(0, 12);
        tried.UpdateTarget(target, SlotCount(bound), ConnectionCount(10));
        bound = std::min(bound, 10);
      } else if (kind == 1) {
        tried.RemoveTarget(target);
        bound = 0;
      } else if (kind == 2) {
        const bool acquired = tried.TryAcquireCall(target);
        RC_ASSERT((!acquired || in_flight < bound));
        in_flight += acquired ? 1 : 0;
      } else {
        ResponseSample sample = Stretched(*rc::gen::inRange(0, 40));
        sample.is_overload = *rc::gen::inRange(0, 5) == 0;
        tried.ReleaseCall(target, sample);
        in_flight = std::max(0, in_flight - 1);
      }
      RC_ASSERT(tried.CallsInFlight(target) == SlotCount(in_flight));
      RC_ASSERT(tried.LimitOf(target) >= SlotCount(std::min(1, bound)));
      RC_ASSERT(tried.LimitOf(target) <= SlotCount(bound));
    }
  }));
}

// Guards against data races (thread sanitizer) and two threads that both take the last slot.
TEST(TargetLimiter, ConcurrentCallsKeepTheBound) {
  std::atomic<int> above{0};
  RunOnThreads([&](int thread) {
    for (int i = 0; i < 2000; ++i) {
      const base::TargetId target("runner-" + std::to_string(i % 10));
      if (thread == 0 && i < 10) {
        limiter.UpdateTarget(target, SlotCount(2), ConnectionCount(64));
      }
      if (limiter.TryAcquireCall(target)) {
        above += limiter.CallsInFlight(target) > SlotCount(8) ? 1 : 0;
        limiter.ReleaseCall(target, Stretched(1));
      }
    }
  });
  LONGS_EQUAL(0, above.load());
  LONGS_EQUAL(0, limiter.CallsInFlight(target).value());
}

}  // namespace sapphirecrank::limits
