#include "limits/caller_rate_limiter.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <map>
#include <string>

#include "base/manual_clock.h"
#include "tests/limits/run_on_threads.h"

namespace sapphirecrank::limits {

using std::chrono::milliseconds;

namespace {
constexpr CallerRateLimiter::Settings kSettings{EventsPerSecond(100), EventCount(5), 32};
}  // namespace

TEST_GROUP(TransferLimiter) {
  base::ManualClock clock;
  CallerRateLimiter limiter{kSettings, {clock.AsClock()}};
};

// Guards against one caller that starves another, and a refusal that doesn't say how long to wait.
TEST(TransferLimiter, OneCallerDoesNotStarveAnother) {
  const CallerAddress greedy("10.0.0.1");
  for (int i = 0; i < 5; ++i) {
    CHECK(limiter.Admit(greedy).has_value());
  }
  const Admission refused = limiter.Admit(greedy);
  CHECK(refused.error().retry_after == milliseconds(10));
  CHECK(limiter.Admit(CallerAddress("10.0.0.2")).has_value());
  clock.Advance(refused.error().retry_after);
  CHECK(limiter.Admit(greedy).has_value());
}

// Guards against a caller that gets a new burst by pushing itself out of memory.
TEST(TransferLimiter, OnlyIdleAddressesAreEvicted) {
  const CallerAddress greedy("10.0.0.1");
  const auto fill_memory = [this] {
    for (int i = 0; i < 500; ++i) {
      limiter.Admit(CallerAddress(std::to_string(i)));
    }
  };
  while (limiter.Admit(greedy).has_value()) {
  }
  fill_memory();
  CHECK(!limiter.Admit(greedy));
  clock.Advance(milliseconds(49));
  fill_memory();
  CHECK(limiter.Admit(greedy).has_value());
}

// Guards against memory that grows with the number of addresses, and a rate above the limit. An
// address may use its own bucket and the shared one in turn.
TEST(TransferLimiter, RateAndMemoryStayBounded) {
  CHECK(rc::check([] {
    base::ManualClock time;
    CallerRateLimiter tried(kSettings, {time.AsClock()});
    const auto begin = time.Now();
    std::map<int, int64_t> admitted;
    const int steps = *rc::gen::inRange(1, 500);
    for (int step = 0; step < steps; ++step) {
      time.Advance(base::Duration(*rc::gen::inRange(0, 500'000)));
      // Few addresses ask often, many ask seldom.
      const int address = *rc::gen::inRange(0, 2) == 0 ? 0 : *rc::gen::inRange(1, 200);
      const bool admits = tried.Admit(CallerAddress(std::to_string(address))).has_value();
      admitted[address] += admits ? 1 : 0;
      const int64_t allowed = 50'000'000 + (time.Now() - begin).count();
      RC_ASSERT(admitted[address] * 10'000'000 <= 2 * allowed);
      RC_ASSERT(tried.AddressCount() <= kSettings.maximum_addresses);
    }
  }));
}

// Guards against data races (thread sanitizer).
TEST(TransferLimiter, ConcurrentCallersStayBounded) {
  RunOnThreads([this](int) {
    for (int i = 0; i < 2000; ++i) {
      limiter.Admit(CallerAddress(std::to_string(i % 100)));
    }
  });
  CHECK(limiter.AddressCount() <= kSettings.maximum_addresses);
}

}  // namespace sapphirecrank::limits
