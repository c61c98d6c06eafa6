#include "scheduling/run_time_estimator.h"

#include <CppUTest/TestHarness.h>

#include <string>

using sapphirecrank::base::Duration;
using sapphirecrank::base::TaskKind;
using sapphirecrank::base::TeamId;
using sapphirecrank::scheduling::RunTimeEstimator;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {
constexpr size_t kCapacity = 100;

bool IsNear(Duration expected, Duration actual) {
  return actual > expected * 7 / 10 && actual < expected * 14 / 10;
}
}  // namespace

TEST_GROUP(RunTimeEstimator){};

// Guards against estimates that follow declared run times although these are wrong by a factor of
// ten.
TEST(RunTimeEstimator, LearnsTypicalRunTimeOfKind) {
  RunTimeEstimator estimator(kCapacity);
  const auto kind = estimator.FindOrAddPair(TeamId("team"), TaskKind("kind"));
  for (int i = 0; i < 20; ++i) {
    estimator.AddSample(kind, milliseconds(i % 2 == 0 ? 20 : 2000), milliseconds(200));
  }
  CHECK_TRUE(IsNear(milliseconds(200), estimator.Estimate(kind, seconds(2)).expected));
  CHECK_TRUE(IsNear(milliseconds(200), estimator.Estimate(kind, Duration(0)).expected));
}

// Guards against a single estimate for all tasks of a kind whose run times vary, when the declared
// run times are always wrong by the same factor.
TEST(RunTimeEstimator, LearnsRatioToDeclaredRunTime) {
  RunTimeEstimator estimator(kCapacity);
  const auto kind = estimator.FindOrAddPair(TeamId("team"), TaskKind("kind"));
  for (int i = 0; i < 40; ++i) {
    const milliseconds declared(100 * (1 + i % 10));
    estimator.AddSample(kind, declared, declared / 5);
  }
  CHECK_TRUE(IsNear(milliseconds(20), estimator.Estimate(kind, milliseconds(100)).expected));
  CHECK_TRUE(IsNear(milliseconds(200), estimator.Estimate(kind, seconds(1)).expected));
}

// Guards against tasks of an unknown kind that are ordered or refused by a wrong declared run time
// alone.
TEST(RunTimeEstimator, UnknownKindStartsFromTeamEstimate) {
  RunTimeEstimator estimator(kCapacity);
  const auto known = estimator.FindOrAddPair(TeamId("team"), TaskKind("known"));
  for (int i = 0; i < 20; ++i) {
    estimator.AddSample(known, Duration(0), milliseconds(200));
  }
  const auto unknown = estimator.FindOrAddPair(TeamId("team"), TaskKind("unknown"));
  CHECK_TRUE(IsNear(milliseconds(200), estimator.Estimate(unknown, Duration(0)).expected));
  const auto estimate = estimator.Estimate(unknown, seconds(2));
  CHECK(estimate.expected < seconds(1));
  CHECK(estimate.optimistic <= milliseconds(100));
}

// Guards against an estimate that a few stragglers distort; a straggler takes 30 times its usual
// run time.
TEST(RunTimeEstimator, StragglersChangeEstimateLittle) {
  RunTimeEstimator estimator(kCapacity);
  const auto kind = estimator.FindOrAddPair(TeamId("team"), TaskKind("kind"));
  for (int i = 0; i < 50; ++i) {
    estimator.AddSample(kind, Duration(0), milliseconds(100));
  }
  for (int i = 0; i < 4; ++i) {
    estimator.AddSample(kind, Duration(0), seconds(3));
  }
  CHECK_TRUE(IsNear(milliseconds(100), estimator.Estimate(kind, Duration(0)).expected));
}

// Guards against samples of an evicted pair that are added to the pair that replaced it.
TEST(RunTimeEstimator, IgnoresSamplesOfEvictedPairs) {
  RunTimeEstimator estimator(4);
  const auto evicted = estimator.FindOrAddPair(TeamId("team"), TaskKind("first"));
  for (int i = 0; i < 10; ++i) {
    estimator.FindOrAddPair(TeamId("team"), TaskKind("kind-" + std::to_string(i)));
  }
  const auto last = estimator.FindOrAddPair(TeamId("team"), TaskKind("kind-9"));
  const Duration before = estimator.Estimate(last, milliseconds(100)).expected;
  for (int i = 0; i < 10; ++i) {
    estimator.AddSample(evicted, Duration(0), seconds(100));
  }
  CHECK(estimator.Estimate(last, milliseconds(100)).optimistic <= milliseconds(10));
  CHECK(before > Duration(0));
}
