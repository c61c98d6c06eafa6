#include "limits/retry_policy.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <atomic>
#include <string>
#include <vector>

#include "base/manual_clock.h"
#include "tests/limits/run_on_threads.h"

namespace sapphirecrank::limits {

using base::ExecutionVerdict;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct Event {
  int64_t step;
  bool extra;
  int64_t count;
};

int64_t CountSince(const std::vector<Event>& events, int64_t oldest_step, bool extra) {
  int64_t sum = 0;
  for (const Event& event : events) {
    sum += event.step > oldest_step && event.extra == extra ? event.count : 0;
  }
  return sum;
}

}  // namespace

TEST_GROUP(RetryPolicy) {
  const base::TeamId team{"tags"};
  base::ManualClock clock;
  double random = 0.5;
  AutomaticActions actions;
  RetryBudget budget{{}, {clock.AsClock()}};
  RetryPolicy policy{budget,
                     BackoffPolicy({}, {[this] { return random; }}),
                     {clock.AsClock(), [this] { return actions; }}};

  RetryRequest NotRun() const {
    RetryRequest request;
    request.team = team;
    request.verdict = ExecutionVerdict::kNotRun;
    request.deadline = clock.Now() + seconds(1);
    return request;
  }
};

// Guards against retries that come as another burst, and against delays that grow without bound.
TEST(RetryPolicy, DelayGrowsToItsBoundAndUsesTheWholeRange) {
  const BackoffPolicy backoff({}, {[this] { return random; }});
  CHECK(backoff.DelayBeforeRetry(1) == milliseconds(5));
  CHECK(backoff.DelayBeforeRetry(3) == milliseconds(20));
  CHECK(backoff.DelayBeforeRetry(1'000'000) == milliseconds(500));
  random = 0;
  CHECK(backoff.DelayBeforeRetry(3) == base::Duration(0));
}

// Guards against a second run of non-idempotent work that may have run, and against retries that
// the preset forbids or that can't end in time.
TEST(RetryPolicy, RetriesOnlySafeWorkInTime) {
  CHECK(rc::check([] {
    base::ManualClock time;
    AutomaticActions switches;
    switches.retry = *rc::gen::arbitrary<bool>();
    RetryBudget ample({RetryBudget::Scope::kAllTeams, {Percent(10), EventCount(1000)}},
                      {time.AsClock()});
    const double chosen = *rc::gen::inRange(0, 100) / 100.0;
    RetryPolicy tried(ample, BackoffPolicy({}, {[chosen] { return chosen; }}),
                      {time.AsClock(), [&switches] { return switches; }});
    RetryRequest request;
    request.verdict = *rc::gen::element(ExecutionVerdict::kNotRun, ExecutionVerdict::kMayHaveRun,
                                        ExecutionVerdict::kRan);
    request.idempotent = *rc::gen::arbitrary<bool>();
    request.failed_attempts = *rc::gen::inRange(1, 10);
    request.deadline = time.Now() + milliseconds(*rc::gen::inRange(-10, 200));
    request.expected_run_time = milliseconds(*rc::gen::inRange(0, 100));
    const auto delay = tried.DecideRetry(request);
    const bool safe = request.verdict == ExecutionVerdict::kNotRun || request.idempotent;
    const RetryCounters counters = tried.Counters();
    RC_ASSERT((!delay || (safe && switches.retry)));
    RC_ASSERT((!delay || time.Now() + *delay + request.expected_run_time < request.deadline));
    RC_ASSERT((delay || delay.error() != RetryDenial::kBudget));
    RC_ASSERT(counters.retried + counters.denied_as_unsafe + counters.denied_by_deadline +
                  counters.would_have_retried ==
              1);
    RC_ASSERT(counters.denied_as_unsafe == (safe ? 0 : 1));
  }));
}

// Guards against a retry storm: more retries than their share of the window's work, or a denied
// retry that uses up the budget of later ones.
TEST(RetryPolicy, ShareNeverExceedsTheBudget) {
  CHECK(rc::check([] {
    const ProportionalBudget::Settings settings{Percent(10), EventCount(2), seconds(10)};
    ProportionalBudget share(settings);
    base::ManualClock time;
    std::vector<Event> events;
    const int steps = *rc::gen::inRange(1, 150);
    for (int i = 0; i < steps; ++i) {
      time.Advance(milliseconds(*rc::gen::weightedElement<int>({{9, 50}, {2, 1500}, {1, 30'000}})));
      const int64_t step = time.Now().time_since_epoch() / seconds(1);
      if (*rc::gen::arbitrary<bool>()) {
        events.push_back({step, false, *rc::gen::inRange(1, 20)});
        share.OnFirstAttempts(time.Now(), EventCount(events.back().count));
        continue;
      }
      const int64_t work = CountSince(events, step - 10, false);
      const int64_t extra = CountSince(events, step - 10, true);
      const bool within = (extra + 1) * 100 <= work * 10 + 200;
      RC_ASSERT(share.HasRemaining(time.Now()) == within);
      RC_ASSERT(share.TryTake(time.Now()) == within);
      if (within) {
        events.push_back({step, true, 1});
      }
    }
  }));
}

// Guards against one team that uses up the retries of another, and against "would have retried"
// counts that use up the budget of real retries.
TEST(RetryPolicy, TeamsAndTheSwitchKeepBudgetsApart) {
  actions.retry = false;
  for (int i = 0; i < 10; ++i) {
    CHECK(policy.DecideRetry(NotRun()).error() == RetryDenial::kSwitchedOff);
  }
  actions.retry = true;
  for (int i = 0; i < 3; ++i) {
    CHECK(policy.DecideRetry(NotRun()).has_value());
  }
  CHECK(policy.DecideRetry(NotRun()).error() == RetryDenial::kBudget);
  RetryRequest other = NotRun();
  other.team = base::TeamId("maps");
  CHECK(policy.DecideRetry(other).has_value());
  budget.OnFirstAttempts(team, EventCount(10));
  CHECK(policy.DecideRetry(NotRun()).has_value());
  const RetryCounters counters = policy.Counters();
  LONGS_EQUAL(5, counters.retried);
  LONGS_EQUAL(1, counters.denied_by_budget);
  LONGS_EQUAL(10, counters.would_have_retried);
}

// Guards against data races (thread sanitizer) and lost counts.
TEST(RetryPolicy, ConcurrentDecisionsAreAllCounted) {
  RunOnThreads([this](int thread) {
    const base::TeamId team(std::to_string(thread % 2));
    for (int i = 0; i < 1000; ++i) {
      budget.OnFirstAttempts(team, EventCount(1));
      RetryRequest request = NotRun();
      request.team = team;
      policy.DecideRetry(request);
    }
  });
  const RetryCounters counters = policy.Counters();
  LONGS_EQUAL(4000, counters.retried + counters.denied_by_budget);
  CHECK(counters.retried <= 400 + 2 * 3);
}

}  // namespace sapphirecrank::limits
