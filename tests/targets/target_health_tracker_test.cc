#include "targets/target_health_tracker.h"

#include <CppUTest/TestHarness.h>

#include <string>

using sapphirecrank::base::Duration;
using sapphirecrank::base::TargetId;
using sapphirecrank::base::TimePoint;
using sapphirecrank::targets::HealthState;
using sapphirecrank::targets::TargetHealthTracker;

namespace {
constexpr int kTargetCount = 10;

TargetId MakeTargetId(int index) { return TargetId("target-" + std::to_string(index)); }

void AddTargets(TargetHealthTracker& tracker, int count) {
  for (int i = 0; i < count; ++i) {
    tracker.AddTarget(MakeTargetId(i));
  }
}

/// Records failures of the target until its ejection is due, each after a success of another target
/// so that the share of failures on all targets stays low. Returns the last state of the target.
HealthState FailUntilEjectionIsDue(TargetHealthTracker& tracker, int index, TimePoint now) {
  HealthState state = HealthState::kHealthy;
  for (int i = 0; i < TargetHealthTracker::kFailuresBeforeEjection; ++i) {
    tracker.OnTaskOutcome(MakeTargetId(kTargetCount - 1), true, now);
    state = tracker.OnTaskOutcome(MakeTargetId(index), false, now);
  }
  return state;
}
}  // namespace

TEST_GROUP(TargetHealthTracker){};

// Guards against a failing target that still gets work, and against ejection for a single failure.
TEST(TargetHealthTracker, EjectsAfterFailuresInARow) {
  TargetHealthTracker tracker;
  AddTargets(tracker, kTargetCount);
  const TimePoint now(std::chrono::hours(1));
  for (int i = 0; i < 3 * TargetHealthTracker::kFailuresBeforeEjection; ++i) {
    CHECK(tracker.OnTaskOutcome(MakeTargetId(0), i % 2 == 0, now) == HealthState::kHealthy);
  }
  CHECK(FailUntilEjectionIsDue(tracker, 0, now) == HealthState::kEjected);
  CHECK_EQUAL(1, tracker.Counters().currently_ejected);
}

// Guards against a recovery without probation, and against a delay that doesn't grow when the
// target fails again on probation.
TEST(TargetHealthTracker, RecoversOnlyAfterSuccessfulProbation) {
  TargetHealthTracker tracker;
  AddTargets(tracker, kTargetCount);
  TimePoint now(std::chrono::hours(1));
  FailUntilEjectionIsDue(tracker, 0, now);
  CHECK_TRUE(tracker.BeginProbations(now).empty());
  now += TargetHealthTracker::kFirstEjectionDuration;
  CHECK_EQUAL(1U, tracker.BeginProbations(now).size());
  CHECK(tracker.OnTaskOutcome(MakeTargetId(0), false, now) == HealthState::kEjected);
  CHECK_TRUE(tracker.BeginProbations(now + TargetHealthTracker::kFirstEjectionDuration).empty());
  now += 2 * TargetHealthTracker::kFirstEjectionDuration;
  CHECK_EQUAL(1U, tracker.BeginProbations(now).size());
  for (int i = 1; i < TargetHealthTracker::kSuccessesBeforeRecovery; ++i) {
    CHECK(tracker.OnTaskOutcome(MakeTargetId(0), true, now) == HealthState::kProbation);
  }
  CHECK(tracker.OnTaskOutcome(MakeTargetId(0), true, now) == HealthState::kHealthy);
  CHECK_EQUAL(0, tracker.Counters().currently_ejected);
  CHECK_EQUAL(1, tracker.Counters().recoveries);
}

// Guards against the ejection of most targets when each of them fails.
TEST(TargetHealthTracker, EjectsAtMostAFifth) {
  TargetHealthTracker tracker;
  AddTargets(tracker, kTargetCount);
  const TimePoint now(std::chrono::hours(1));
  for (int i = 0; i < 5; ++i) {
    FailUntilEjectionIsDue(tracker, i, now);
  }
  CHECK_EQUAL(2, tracker.Counters().currently_ejected);
  CHECK_EQUAL(3, tracker.Counters().prevented_by_limit);
}

// Guards against the ejection of targets because of work that fails everywhere.
TEST(TargetHealthTracker, EjectsNoneIfAllTargetsFail) {
  TargetHealthTracker tracker;
  AddTargets(tracker, kTargetCount);
  const TimePoint now(std::chrono::hours(1));
  for (int i = 0; i < 20 * kTargetCount; ++i) {
    tracker.OnTaskOutcome(MakeTargetId(i % kTargetCount), false, now);
  }
  CHECK_EQUAL(0, tracker.Counters().ejections);
}

// Guards against ejection while it is disabled, against targets that stay ejected when it is
// disabled, and against counters that omit the ejections that were due.
TEST(TargetHealthTracker, CountsWhatItWouldHaveEjected) {
  TargetHealthTracker tracker;
  AddTargets(tracker, kTargetCount);
  const TimePoint now(std::chrono::hours(1));
  FailUntilEjectionIsDue(tracker, 0, now);
  CHECK_EQUAL(1U, tracker.SetEjectionEnabled(false).size());
  CHECK(tracker.StateOf(MakeTargetId(0)) == HealthState::kHealthy);
  CHECK(FailUntilEjectionIsDue(tracker, 1, now) == HealthState::kHealthy);
  CHECK_EQUAL(1, tracker.Counters().would_have_ejected);
  CHECK_EQUAL(0, tracker.Counters().currently_ejected);
}
