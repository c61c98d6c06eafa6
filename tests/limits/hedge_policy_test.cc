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

  HedgeRequest Request(bool idempotent = true) const {
    return {team, kind, idempotent, clock.Now() + seconds(1)};
  }

  void Learn(int fast, int slow) {
    for (int i = 0; i < fast + slow; ++i) {
      policy.OnFirstResponse(team, kind, i < fast ? milliseconds(50) : milliseconds(500));
    }
  }
};

// Guards against copies of ordinary requests: too few samples, a delay below the bulk of response
// times, or a delay that waits for the slowest.
TEST(HedgePolicy, DelayIsAHighQuantileOfTheKind) {
  Learn(19, 0);
  CHECK(!policy.OnFirstAttempt(Request()));
  Learn(80, 3);
  const auto delay = policy.OnFirstAttempt(Request());
  CHECK(delay.has_value());
  CHECK(*delay >= milliseconds(50));
  CHECK(*delay <= milliseconds(60));
  HedgeRequest other_kind = Request();
  other_kind.kind = TaskKind("refresh");
  CHECK(!policy.OnFirstAttempt(other_kind));
  HedgeRequest urgent = Request();
  urgent.deadline = clock.Now() + milliseconds(50);
  CHECK(!policy.OnFirstAttempt(urgent));
}

// Guards against an estimate that stays at old response times after the kind has become slower.
TEST(HedgePolicy, DelayFollowsAChange) {
  Learn(1500, 0);
  Learn(0, 1500);
  CHECK(policy.OnFirstAttempt(Request()).value_or(base::Duration(0)) >= milliseconds(500));
}

// Guards against copies while the preset switches them off, and a status that doesn't show them.
TEST(HedgePolicy, SwitchedOffCopiesAreOnlyCounted) {
  for (int i = 0; i < 100; ++i) {
    policy.OnFirstAttempt(Request());
  }
  actions.hedging = false;
  CHECK(!policy.TryHedge(Request()));
  LONGS_EQUAL(1, policy.Counters().would_have_sent);
  actions.hedging = true;
  CHECK(policy.TryHedge(Request()));
  CHECK(policy.TryHedge(Request()));
  CHECK(!policy.TryHedge(Request()));
  LONGS_EQUAL(1, policy.Counters().denied_by_budget);
}

// Guards against a second run of non-idempotent work, and against copies beyond 2 % of real work,
// which would turn a slow moment into an overload.
TEST(HedgePolicy, CopiesStayWithinTheBudget) {
  CHECK(rc::check([this] {
    HedgePolicy tried{{}, {clock.AsClock(), [] { return AutomaticActions(); }}};
    int work = 0;
    int copies = 0;
    const int steps = *rc::gen::inRange(1, 300);
    for (int step = 0; step < steps; ++step) {
      HedgeRequest request = Request(*rc::gen::arbitrary<bool>());
      request.team = base::TeamId(std::to_string(*rc::gen::inRange(0, 3)));
      tried.OnFirstResponse(request.team, request.kind, milliseconds(50));
      work += 1;
      RC_ASSERT((!tried.OnFirstAttempt(request) || request.idempotent));
      const bool sent = tried.TryHedge(request);
      RC_ASSERT((!sent || request.idempotent));
      copies += sent ? 1 : 0;
      RC_ASSERT(copies * 100 <= work * 2);
    }
  }));
}

// Guards against data races (thread sanitizer) and against memory that grows with caller-chosen
// kinds: the kind used last must still be known, the one used first must be forgotten.
TEST(HedgePolicy, ConcurrentUseKeepsTheNewestKinds) {
  RunOnThreads([this](int thread) {
    for (int i = 0; i < 200; ++i) {
      HedgeRequest request = Request();
      request.team = base::TeamId(std::to_string(thread % 2));
      request.kind = TaskKind(std::to_string(i));
      for (int sample = 0; sample < 20; ++sample) {
        policy.OnFirstResponse(request.team, request.kind, milliseconds(50));
      }
      policy.OnFirstAttempt(request);
      policy.TryHedge(request);
    }
  });
  HedgeRequest request = Request();
  request.team = base::TeamId("0");
  request.kind = TaskKind("199");
  CHECK(policy.OnFirstAttempt(request).has_value());
  request.kind = TaskKind("0");
  CHECK(!policy.OnFirstAttempt(request));
}

}  // namespace sapphirecrank::limits
