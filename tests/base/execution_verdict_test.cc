#include "base/execution_verdict.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

using sapphirecrank::base::CombineVerdicts;
using sapphirecrank::base::ExecutionVerdict;
using sapphirecrank::base::IsSafeToRetry;
using sapphirecrank::base::RefineVerdict;

namespace {
constexpr ExecutionVerdict kAllVerdicts[] = {ExecutionVerdict::kNotRun,
                                             ExecutionVerdict::kMayHaveRun, ExecutionVerdict::kRan};
}  // namespace

TEST_GROUP(ExecutionVerdict){};

// Guards against a combined verdict of "not run" or "ran" although one part says otherwise.
TEST(ExecutionVerdict, CombiningDifferentVerdictsGivesMayHaveRun) {
  for (ExecutionVerdict a : kAllVerdicts) {
    for (ExecutionVerdict b : kAllVerdicts) {
      const ExecutionVerdict combined = CombineVerdicts(a, b);
      CHECK(combined == CombineVerdicts(b, a));
      CHECK(combined == (a == b ? a : ExecutionVerdict::kMayHaveRun));
    }
  }
}

// Guards against a final verdict that is changed by a late message or one for another attempt.
TEST(ExecutionVerdict, NotRunAndRanAreFinal) {
  for (ExecutionVerdict observed : kAllVerdicts) {
    CHECK(RefineVerdict(ExecutionVerdict::kNotRun, observed) == ExecutionVerdict::kNotRun);
    CHECK(RefineVerdict(ExecutionVerdict::kRan, observed) == ExecutionVerdict::kRan);
    CHECK(RefineVerdict(ExecutionVerdict::kMayHaveRun, observed) == observed);
  }
}

// Guards against a second run of work that is not idempotent.
TEST(ExecutionVerdict, OnlyNotRunOrIdempotentIsRetried) {
  CHECK_TRUE(IsSafeToRetry(ExecutionVerdict::kNotRun, false));
  CHECK_FALSE(IsSafeToRetry(ExecutionVerdict::kMayHaveRun, false));
  CHECK_FALSE(IsSafeToRetry(ExecutionVerdict::kRan, false));
  CHECK_TRUE(IsSafeToRetry(ExecutionVerdict::kMayHaveRun, true));
}

// Guards against a combined verdict that depends on the order in which parts are combined.
TEST(ExecutionVerdict, CombiningIsAssociative) {
  const bool holds = rc::check([] {
    const auto random_verdict = [] { return kAllVerdicts[*rc::gen::inRange(0, 3)]; };
    const ExecutionVerdict a = random_verdict();
    const ExecutionVerdict b = random_verdict();
    const ExecutionVerdict c = random_verdict();
    RC_ASSERT(CombineVerdicts(CombineVerdicts(a, b), c) ==
              CombineVerdicts(a, CombineVerdicts(b, c)));
  });
  CHECK_TRUE(holds);
}
