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

TEST_GROUP(CallerRateLimiter) {
  base::ManualClock clock;
  CallerRateLimiter limiter{kSettings, {clock.AsClock()}};
};

// Guards against one caller that starves another, and a refusal with a wrong `retry_after`.
TEST(CallerRateLimiter, OneCallerDoesNotStarveAnother) {
  const CallerAddress busy_caller("10.0.0.1");
  for (int i = 0; i < 5; ++i) {
    CHECK(limiter.Admit(busy_caller).has_value());
  }
  const Admission refused = limiter.Admit(busy_caller);
  CHECK(refused.error().retry_after == milliseconds(10));
  CHECK(limiter.Admit(CallerAddress("10.0.0.2")).has_value());
  clock.Advance(refused.error().retry_after);
  CHECK(limiter.Admit(busy_caller).has_value());
}

// Guards against a caller that gets a new burst by making the limiter evict its address.
TEST(CallerRateLimiter, OnlyIdleAddressesAreEvicted) {
  const CallerAddress busy_caller("10.0.0.1");
  const auto fill_address_table = [this] {
    for (int i = 0; i < 500; ++i) {
      limiter.Admit(CallerAddress(std::to_string(i)));
    }
  };
  while (limiter.Admit(busy_caller).has_value()) {
  }
  fill_address_table();
  CHECK(!limiter.Admit(busy_caller));
  clock.Advance(milliseconds(49));
  fill_address_table();
  CHECK(limiter.Admit(busy_caller).has_value());
}

// Guards against memory that grows with the number of addresses, and against a rate above the
// limit. The bound is twice the rate because an address may use its own bucket and the overflow
// bucket.
TEST(CallerRateLimiter, RateAndMemoryStayBounded) {
  CHECK(rc::check([] {
    base::ManualClock local_clock;
    CallerRateLimiter local_limiter(kSettings, {local_clock.AsClock()});
    const auto started_at = local_clock.Now();
    std::map<int, int64_t> admitted_by_address;
    const int step_count = *rc::gen::inRange(1, 500);
    for (int step = 0; step < step_count; ++step) {
      local_clock.Advance(base::Duration(*rc::gen::inRange(0, 500'000)));
      // One address sends half of the requests; the others send few each.
      const int address_number = *rc::gen::inRange(0, 2) == 0 ? 0 : *rc::gen::inRange(1, 200);
      const bool is_admitted =
          local_limiter.Admit(CallerAddress(std::to_string(address_number))).has_value();
      admitted_by_address[address_number] += is_admitted ? 1 : 0;
      const int64_t allowed_nanoseconds = 50'000'000 + (local_clock.Now() - started_at).count();
      RC_ASSERT(admitted_by_address[address_number] * 10'000'000 <= 2 * allowed_nanoseconds);
      RC_ASSERT(local_limiter.AddressCount() <= kSettings.maximum_addresses);
    }
  }));
}

// Guards against data races (thread sanitizer) and too many addresses in memory.
TEST(CallerRateLimiter, ConcurrentCallersStayBounded) {
  RunOnThreads([this](int) {
    for (int i = 0; i < 2000; ++i) {
      limiter.Admit(CallerAddress(std::to_string(i % 100)));
    }
  });
  CHECK(limiter.AddressCount() <= kSettings.maximum_addresses);
}

}  // namespace sapphirecrank::limits
