#include "base/verdict.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

using sapphirecrank::base::CombineParts;
using sapphirecrank::base::IsSafeToRetry;
using sapphirecrank::base::Refine;
using sapphirecrank::base::Verdict;

namespace {
constexpr Verdict kAll[] = {Verdict::kNotRun, Verdict::kMayHaveRun, Verdict::kRan};
}  // namespace

TEST_GROUP(Verdict){};

// Guards against a whole that claims "not run" or "ran" though a part says otherwise.
TEST(Verdict, CombiningDifferentPartsIsNeverCertain) {
  for (Verdict a : kAll) {
    for (Verdict b : kAll) {
      const Verdict whole = CombineParts(a, b);
      CHECK(whole == CombineParts(b, a));
      CHECK(whole == (a == b ? a : Verdict::kMayHaveRun));
    }
  }
}

// Guards against a certain verdict that a late or crossed message changes.
TEST(Verdict, CertainVerdictsAreFinal) {
  for (Verdict observed : kAll) {
    CHECK(Refine(Verdict::kNotRun, observed) == Verdict::kNotRun);
    CHECK(Refine(Verdict::kRan, observed) == Verdict::kRan);
    CHECK(Refine(Verdict::kMayHaveRun, observed) == observed);
  }
}

// Guards against a second run of work that is not idempotent.
TEST(Verdict, OnlyNotRunOrIdempotentIsRetried) {
  CHECK_TRUE(IsSafeToRetry(Verdict::kNotRun, false));
  CHECK_FALSE(IsSafeToRetry(Verdict::kMayHaveRun, false));
  CHECK_FALSE(IsSafeToRetry(Verdict::kRan, false));
  CHECK_TRUE(IsSafeToRetry(Verdict::kMayHaveRun, true));
}

// Guards against an order of observations that changes the combined verdict.
TEST(Verdict, CombiningIsAssociative) {
  const bool holds = rc::check([] {
    const auto pick = [] { return kAll[*rc::gen::inRange(0, 3)]; };
    const Verdict a = pick();
    const Verdict b = pick();
    const Verdict c = pick();
    RC_ASSERT(CombineParts(CombineParts(a, b), c) == CombineParts(a, CombineParts(b, c)));
  });
  CHECK_TRUE(holds);
}
