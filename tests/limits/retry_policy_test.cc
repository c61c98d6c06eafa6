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

struct BudgetEvent {
  int64_t step;
  bool is_extra;
  int64_t count;
};

int64_t CountSince(const std::vector<BudgetEvent>& events, int64_t oldest_step, bool is_extra) {
  int64_t sum = 0;
  for (const BudgetEvent& event : events) {
    sum += event.step > oldest_step && event.is_extra == is_extra ? event.count : 0;
  }
  return sum;
}

}  // namespace

TEST_GROUP(RetryPolicy) {
  const base::TeamId team{"tags"};
  base::ManualClock clock;
  double random_fraction = 0.5;
  AutomaticActions actions;
  RetryBudget budget{{}, {clock.AsClock()}};
  RetryPolicy policy{budget,
                     BackoffPolicy({}, {[this] { return random_fraction; }}),
                     {clock.AsClock(), [this] { return actions; }}};

  RetryRequest MakeNotRunRequest() const {
    RetryRequest request;
    request.team = team;
    request.verdict = ExecutionVerdict::kNotRun;
    request.deadline = clock.Now() + seconds(1);
    return request;
  }
};

// Guards against retries that form another burst, and against delays that grow without bound.
TEST(RetryPolicy, DelayGrowsToItsBoundAndUsesTheWholeRange) {
  const BackoffPolicy backoff({}, {[this] { return random_fraction; }});
  CHECK(backoff.DelayBeforeRetry(1) == milliseconds(5));
  CHECK(backoff.DelayBeforeRetry(3) == milliseconds(20));
  CHECK(backoff.DelayBeforeRetry(1'000'000) == milliseconds(500));
  random_fraction = 0;
  CHECK(backoff.DelayBeforeRetry(3) == base::Duration(0));
}

// Guards against a second run of non-idempotent work that may have run, and against retries that
// the preset forbids or that can't end in time.
TEST(RetryPolicy, RetriesOnlySafeWorkInTime) {
  CHECK(rc::check([] {
    base::ManualClock local_clock;
    AutomaticActions local_actions;
    local_actions.retry = *rc::gen::arbitrary<bool>();
    RetryBudget ample_budget({RetryBudget::Scope::kAllTeams, {Percent(10), EventCount(1000)}},
                             {local_clock.AsClock()});
    const double random_fraction = *rc::gen::inRange(0, 100) / 100.0;
    RetryPolicy local_policy(ample_budget,
                             BackoffPolicy({}, {[random_fraction] { return random_fraction; }}),
                             {local_clock.AsClock(), [&local_actions] { return local_actions; }});
    RetryRequest request;
    request.verdict = *rc::gen::element(ExecutionVerdict::kNotRun, ExecutionVerdict::kMayHaveRun,
                                        ExecutionVerdict::kRan);
    request.idempotent = *rc::gen::arbitrary<bool>();
    request.failed_attempts = *rc::gen::inRange(1, 10);
    request.deadline = local_clock.Now() + milliseconds(*rc::gen::inRange(-10, 200));
    request.expected_run_time = milliseconds(*rc::gen::inRange(0, 100));
    const auto delay = local_policy.DecideRetry(request);
    const bool is_safe = request.verdict == ExecutionVerdict::kNotRun || request.idempotent;
    const RetryCounters counters = local_policy.Counters();
    RC_ASSERT((!delay || (is_safe && local_actions.retry)));
    RC_ASSERT(
        (!delay || local_clock.Now() + *delay + request.expected_run_time < request.deadline));
    RC_ASSERT((delay || delay.error() != RetryDenial::kBudget));
    RC_ASSERT(counters.retried + counters.denied_as_unsafe + counters.denied_by_deadline +
                  counters.would_have_retried ==
              1);
    RC_ASSERT(counters.denied_as_unsafe == (is_safe ? 0 : 1));
  }));
}

// Guards against a retry storm: more retries than their share of the window's first attempts, or a
// denied retry that takes from the budget of later ones.
TEST(RetryPolicy, RetriesNeverExceedTheBudget) {
  CHECK(rc::check([] {
    const ProportionalBudget::Settings settings{Percent(10), EventCount(2), seconds(10)};
    ProportionalBudget local_budget(settings);
    base::ManualClock local_clock;
    std::vector<BudgetEvent> events;
    const int step_count = *rc::gen::inRange(1, 150);
    for (int i = 0; i < step_count; ++i) {
      local_clock.Advance(
          milliseconds(*rc::gen::weightedElement<int>({{9, 50}, {2, 1500}, {1, 30'000}})));
      const int64_t step = local_clock.Now().time_since_epoch() / seconds(1);
      if (*rc::gen::arbitrary<bool>()) {
        events.push_back({step, false, *rc::gen::inRange(1, 20)});
        local_budget.OnFirstAttempts(local_clock.Now(), EventCount(events.back().count));
        continue;
      }
      const int64_t first_attempts = CountSince(events, step - 10, false);
      const int64_t extra_messages = CountSince(events, step - 10, true);
      const bool is_within_budget = (extra_messages + 1) * 100 <= first_attempts * 10 + 200;
      RC_ASSERT(local_budget.HasRemaining(local_clock.Now()) == is_within_budget);
      RC_ASSERT(local_budget.TryTake(local_clock.Now()) == is_within_budget);
      if (is_within_budget) {
        events.push_back({step, true, 1});
      }
    }
  }));
}

// Guards against a team that uses up the retries of another team, and against retries that are
// disabled but still take from the budget.
TEST(RetryPolicy, OtherTeamsAndDisabledRetriesTakeNothing) {
  actions.retry = false;
  for (int i = 0; i < 10; ++i) {
    CHECK(policy.DecideRetry(MakeNotRunRequest()).error() == RetryDenial::kDisabled);
  }
  actions.retry = true;
  for (int i = 0; i < 3; ++i) {
    CHECK(policy.DecideRetry(MakeNotRunRequest()).has_value());
  }
  CHECK(policy.DecideRetry(MakeNotRunRequest()).error() == RetryDenial::kBudget);
  RetryRequest other_team_request = MakeNotRunRequest();
  other_team_request.team = base::TeamId("maps");
  CHECK(policy.DecideRetry(other_team_request).has_value());
  budget.OnFirstAttempts(team, EventCount(10));
  CHECK(policy.DecideRetry(MakeNotRunRequest()).has_value());
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
      RetryRequest request = MakeNotRunRequest();
      request.team = team;
      policy.DecideRetry(request);
    }
  });
  const RetryCounters counters = policy.Counters();
  LONGS_EQUAL(4000, counters.retried + counters.denied_by_budget);
  CHECK(counters.retried <= 400 + 2 * 3);
}

}  // namespace sapphirecrank::limits
