#include "base/execution_verdict.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

using sapphirecrank::base::CombineVerdicts;
using sapphirecrank::base::ExecutionVerdict;
using sapphirecrank::base::IsSafeToRetry;
using sapphirecrank::base::RefineVerdict;

namespace {
constexpr ExecutionVerdict kAll[] = {ExecutionVerdict::kNotRun, ExecutionVerdict::kMayHaveRun,
                                     ExecutionVerdict::kRan};
}  // namespace

TEST_GROUP(ExecutionVerdict){};

// Guards against a whole that claims "not run" or "ran" though a part says otherwise.
TEST(ExecutionVerdict, CombiningDifferentPartsIsNeverCertain) {
  for (ExecutionVerdict a : kAll) {
    for (ExecutionVerdict b : kAll) {
      const ExecutionVerdict whole = CombineVerdicts(a, b);
      CHECK(whole == CombineVerdicts(b, a));
      CHECK(whole == (a == b ? a : ExecutionVerdict::kMayHaveRun));
    }
  }
}

// Guards against a certain verdict that a late or crossed message changes.
TEST(ExecutionVerdict, CertainVerdictsAreFinal) {
  for (ExecutionVerdict observed : kAll) {
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

// Guards against an order of observations that changes the combined verdict.
TEST(ExecutionVerdict, CombiningIsAssociative) {
  const bool holds = rc::check([] {
    const auto pick = [] { return kAll[*rc::gen::inRange(0, 3)]; };
    const ExecutionVerdict a = pick();
    const ExecutionVerdict b = pick();
    const ExecutionVerdict c = pick();
    RC_ASSERT(CombineVerdicts(CombineVerdicts(a, b), c) ==
              CombineVerdicts(a, CombineVerdicts(b, c)));
  });
  CHECK_TRUE(holds);
}
