#include "targets/target_health_tracker.h"

#include <CppUTest/TestHarness.h>

#include <string>

using sapphirecrank::base::Duration;
using sapphirecrank::base::TargetId;
using sapphirecrank::base::TimePoint;
using sapphirecrank::targets::HealthState;
using sapphirecrank::targets::TargetHealthTracker;

namespace {
constexpr int kTargets = 10;

TargetId Target(int number) { return TargetId("target-" + std::to_string(number)); }

void AddTargets(TargetHealthTracker& health, int count) {
  for (int i = 0; i < count; ++i) {
    health.AddTarget(Target(i));
  }
}

/// Fails the target so often that it is due to be ejected; another one succeeds in between.
HealthState FailInRow(TargetHealthTracker& health, int number, TimePoint now) {
  HealthState state = HealthState::kHealthy;
  for (int i = 0; i < TargetHealthTracker::kFailuresBeforeEjection; ++i) {
    health.OnTaskOutcome(Target(kTargets - 1), true, now);
    state = health.OnTaskOutcome(Target(number), false, now);
  }
  return state;
}
}  // namespace

TEST_GROUP(TargetHealthTracker){};

// Guards against a failing target that keeps its work, and against ejection for a single failure.
TEST(TargetHealthTracker, EjectsAfterFailuresInARow) {
  TargetHealthTracker health;
  AddTargets(health, kTargets);
  const TimePoint now(std::chrono::hours(1));
  for (int i = 0; i < 3 * TargetHealthTracker::kFailuresBeforeEjection; ++i) {
    CHECK(health.OnTaskOutcome(Target(0), i % 2 == 0, now) == HealthState::kHealthy);
  }
  CHECK(FailInRow(health, 0, now) == HealthState::kEjected);
  CHECK_EQUAL(1, health.Counters().currently_ejected);
}

// Guards against a return without trial work, and against a trial after each second for a target
// that keeps failing.
TEST(TargetHealthTracker, ReturnsAfterSuccessfulTrialsOnly) {
  TargetHealthTracker health;
  AddTargets(health, kTargets);
  TimePoint now(std::chrono::hours(1));
  FailInRow(health, 0, now);
  CHECK_TRUE(health.BeginProbations(now).empty());
  now += TargetHealthTracker::kFirstEjectionDuration;
  CHECK_EQUAL(1U, health.BeginProbations(now).size());
  CHECK(health.OnTaskOutcome(Target(0), false, now) == HealthState::kEjected);
  CHECK_TRUE(health.BeginProbations(now + TargetHealthTracker::kFirstEjectionDuration).empty());
  now += 2 * TargetHealthTracker::kFirstEjectionDuration;
  CHECK_EQUAL(1U, health.BeginProbations(now).size());
  for (int i = 1; i < TargetHealthTracker::kSuccessesBeforeRecovery; ++i) {
    CHECK(health.OnTaskOutcome(Target(0), true, now) == HealthState::kProbation);
  }
  CHECK(health.OnTaskOutcome(Target(0), true, now) == HealthState::kHealthy);
  CHECK_EQUAL(0, health.Counters().currently_ejected);
  CHECK_EQUAL(1, health.Counters().recoveries);
}

// Guards against an ejection of most targets when each of them fails.
TEST(TargetHealthTracker, EjectsAtMostAFifth) {
  TargetHealthTracker health;
  AddTargets(health, kTargets);
  const TimePoint now(std::chrono::hours(1));
  for (int i = 0; i < 5; ++i) {
    FailInRow(health, i, now);
  }
  CHECK_EQUAL(2, health.Counters().currently_ejected);
  CHECK_EQUAL(3, health.Counters().prevented_by_limit);
}

// Guards against ejection of targets that run work which fails everywhere.
TEST(TargetHealthTracker, BlamesTheWorkIfAllTargetsFail) {
  TargetHealthTracker health;
  AddTargets(health, kTargets);
  const TimePoint now(std::chrono::hours(1));
  for (int i = 0; i < 20 * kTargets; ++i) {
    health.OnTaskOutcome(Target(i % kTargets), false, now);
  }
  CHECK_EQUAL(0, health.Counters().ejections);
}

// Guards against ejection while the action is switched off.
TEST(TargetHealthTracker, CountsWhatItWouldHaveEjected) {
  TargetHealthTracker health;
  AddTargets(health, kTargets);
  const TimePoint now(std::chrono::hours(1));
  FailInRow(health, 0, now);
  CHECK_EQUAL(1U, health.SetEjectionEnabled(false).size());
  CHECK(health.StateOf(Target(0)) == HealthState::kHealthy);
  CHECK(FailInRow(health, 1, now) == HealthState::kHealthy);
  CHECK_EQUAL(1, health.Counters().would_have_ejected);
  CHECK_EQUAL(0, health.Counters().currently_ejected);
}
