#include "limits/hedge_policy.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <string>

#include "base/manual_clock.h"
#include "tests/limits/run_on_threads.h"

namespace sapphirecrank::limits {

using base::TaskKind;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(HedgePolicy) {
  const base::TeamId team{"maps"};
  const TaskKind kind{"lookup"};
  base::ManualClock clock;
  AutomaticActions actions;
  HedgePolicy policy{{}, {clock.AsClock(), [this] { return actions; }}};

  HedgeRequest MakeRequest(bool idempotent = true) const {
    return {team, kind, idempotent, clock.Now() + seconds(1)};
  }

  void AddSamples(int fast_count, int slow_count) {
    for (int i = 0; i < fast_count + slow_count; ++i) {
      policy.OnFirstResponse(team, kind, i < fast_count ? milliseconds(50) : milliseconds(500));
    }
  }
};

// Guards against hedges of requests that aren't slow, because of too few samples or a delay below
// most response times, and against a delay as long as the slowest response times.
TEST(HedgePolicy, DelayIsAHighQuantileOfTheKind) {
  AddSamples(19, 0);
  CHECK(!policy.OnFirstAttempt(MakeRequest()));
  AddSamples(80, 3);
  const auto delay = policy.OnFirstAttempt(MakeRequest());
  CHECK(delay.has_value());
  CHECK(*delay >= milliseconds(50));
  CHECK(*delay <= milliseconds(60));
  HedgeRequest other_kind = MakeRequest();
  other_kind.kind = TaskKind("refresh");
  CHECK(!policy.OnFirstAttempt(other_kind));
  HedgeRequest short_deadline = MakeRequest();
  short_deadline.deadline = clock.Now() + milliseconds(50);
  CHECK(!policy.OnFirstAttempt(short_deadline));
}

// Guards against an estimate that stays at old response times after the kind has become slower.
TEST(HedgePolicy, DelayFollowsAChange) {
  AddSamples(1500, 0);
  AddSamples(0, 1500);
  CHECK(policy.OnFirstAttempt(MakeRequest()).value_or(base::Duration(0)) >= milliseconds(500));
}

// Guards against hedges while the preset disables them, and against counters that omit them.
TEST(HedgePolicy, DisabledHedgesAreOnlyCounted) {
  for (int i = 0; i < 100; ++i) {
    policy.OnFirstAttempt(MakeRequest());
  }
  actions.hedging = false;
  CHECK(!policy.TryHedge(MakeRequest()));
  LONGS_EQUAL(1, policy.Counters().would_have_sent);
  actions.hedging = true;
  CHECK(policy.TryHedge(MakeRequest()));
  CHECK(policy.TryHedge(MakeRequest()));
  CHECK(!policy.TryHedge(MakeRequest()));
  LONGS_EQUAL(1, policy.Counters().denied_by_budget);
}

// Guards against a second run of non-idempotent work, and against hedges beyond 2 % of first
// attempts, which could turn a short slowdown into an overload.
TEST(HedgePolicy, HedgesStayWithinTheBudget) {
  CHECK(rc::check([this] {
    HedgePolicy local_policy{{}, {clock.AsClock(), [] { return AutomaticActions(); }}};
    int first_attempts = 0;
    int hedges = 0;
    const int step_count = *rc::gen::inRange(1, 300);
    for (int step = 0; step < step_count; ++step) {
      HedgeRequest request = MakeRequest(*rc::gen::arbitrary<bool>());
      request.team = base::TeamId(std::to_string(*rc::gen::inRange(0, 3)));
      local_policy.OnFirstResponse(request.team, request.kind, milliseconds(50));
      first_attempts += 1;
      RC_ASSERT((!local_policy.OnFirstAttempt(request) || request.idempotent));
      const bool is_sent = local_policy.TryHedge(request);
      RC_ASSERT((!is_sent || request.idempotent));
      hedges += is_sent ? 1 : 0;
      RC_ASSERT(hedges * 100 <= first_attempts * 2);
    }
  }));
}

// Guards against data races (thread sanitizer) and against memory that grows with the kinds that
// callers choose: the last used kind must still be in memory, the first used one must be evicted.
TEST(HedgePolicy, ConcurrentUseKeepsTheNewestKinds) {
  RunOnThreads([this](int thread) {
    for (int i = 0; i < 200; ++i) {
      HedgeRequest request = MakeRequest();
      request.team = base::TeamId(std::to_string(thread % 2));
      request.kind = TaskKind(std::to_string(i));
      for (int sample = 0; sample < 20; ++sample) {
        policy.OnFirstResponse(request.team, request.kind, milliseconds(50));
      }
      policy.OnFirstAttempt(request);
      policy.TryHedge(request);
    }
  });
  HedgeRequest request = MakeRequest();
  request.team = base::TeamId("0");
  request.kind = TaskKind("199");
  CHECK(policy.OnFirstAttempt(request).has_value());
  request.kind = TaskKind("0");
  CHECK(!policy.OnFirstAttempt(request));
}

}  // namespace sapphirecrank::limits
