#include "limits/team_quota.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <atomic>
#include <string>

#include "base/manual_clock.h"
#include "tests/limits/run_on_threads.h"

namespace sapphirecrank::limits {

using base::TaskCount;
using base::TeamId;
using base::Version;
using std::chrono::milliseconds;

namespace {

TeamLimits MakeLimits(int64_t unfinished_tasks, int64_t rate = 10, int64_t burst = 5) {
  return {TaskCount(unfinished_tasks), EventsPerSecond(rate), EventCount(burst), base::Weight(3)};
}

}  // namespace

TEST_GROUP(TeamQuota) {
  const TeamId team{"tags"};
  base::ManualClock clock;
  TeamQuota quota{{clock.AsClock()}};

  void setup() override { quota.ReplaceLimits(Version(1), {{team, MakeLimits(10)}}); }
};

// Guards against an unknown team that is admitted, or refused with the wrong field or verdict.
TEST(TeamQuota, UnknownTeamIsRefused) {
  const Admission admission = quota.Admit(TeamId("nobody"), TaskCount(1));
  CHECK(!admission);
  CHECK(admission.error().error.code == base::ErrorCode::kNotFound);
  STRCMP_EQUAL("team", admission.error().error.field.c_str());
  CHECK(admission.error().error.verdict == base::ExecutionVerdict::kNotRun);
  CHECK(!quota.TryStartTasks(TeamId("nobody"), EventCount(1)));
  CHECK(!quota.WeightOf(TeamId("nobody")));
  LONGS_EQUAL(3, quota.WeightOf(team)->value());
}

// Guards against a `retry_after` that is too short for the retry to be admitted, or too long.
TEST(TeamQuota, StartsAreAdmittedAfterTheStatedWait) {
  CHECK(quota.TryStartTasks(team, EventCount(5)).has_value());
  const Admission refused = quota.TryStartTasks(team, EventCount(1));
  CHECK(!refused);
  CHECK(refused.error().retry_after == milliseconds(100));
  clock.Advance(refused.error().retry_after - base::Duration(1));
  CHECK(!quota.TryStartTasks(team, EventCount(1)));
  clock.Advance(base::Duration(1));
  CHECK(quota.TryStartTasks(team, EventCount(1)).has_value());
}

// Guards against a caller that keeps retrying work that can never be admitted.
TEST(TeamQuota, WorkThatNeverFitsIsRefusedWithoutAWait) {
  const Admission too_many = quota.Admit(team, TaskCount(11));
  CHECK(too_many.error().error.code == base::ErrorCode::kTooLarge);
  CHECK(too_many.error().retry_after == base::Duration(0));
  CHECK(quota.TryStartTasks(team, EventCount(6)).error().error.code == base::ErrorCode::kTooLarge);
  CHECK(quota.Admit(team, TaskCount(-1)).error().error.code == base::ErrorCode::kInvalidArgument);
}

// Guards against counts that are lost when a configuration removes a team and a later one adds it
// again, and against an older configuration that replaces a newer one.
TEST(TeamQuota, CountsSurviveConfigurationChanges) {
  CHECK(quota.Admit(team, TaskCount(8)).has_value());
  CHECK(quota.TryStartTasks(team, EventCount(5)).has_value());
  CHECK(quota.ReplaceLimits(Version(2), {}));
  CHECK(!quota.Admit(team, TaskCount(1)));
  CHECK(!quota.ReplaceLimits(Version(1), {{team, MakeLimits(10)}}));
  CHECK(!quota.Admit(team, TaskCount(1)));
  CHECK(quota.ReplaceLimits(Version(3), {{team, MakeLimits(9)}}));
  LONGS_EQUAL(8, quota.UnfinishedTasks(team).value());
  CHECK(!quota.Admit(team, TaskCount(2)));
  CHECK(!quota.TryStartTasks(team, EventCount(1)));
  CHECK(quota.Admit(team, TaskCount(1)).has_value());
}

// Guards against counts that leave the range from 0 to the limit, a refusal that changes a count,
// and more starts than rate and burst allow.
TEST(TeamQuota, CountsStayWithinLimits) {
  CHECK(rc::check([this] {
    base::ManualClock local_clock;
    TeamQuota local_quota{{local_clock.AsClock()}};
    local_quota.ReplaceLimits(Version(1), {{team, MakeLimits(20, 1000, 7)}});
    const auto started_at = local_clock.Now();
    int64_t unfinished = 0;
    int64_t started = 0;
    const int step_count = *rc::gen::inRange(1, 60);
    for (int step = 0; step < step_count; ++step) {
      local_clock.Advance(base::Duration(*rc::gen::inRange(0, 3'000'000)));
      const auto count = *rc::gen::inRange<int64_t>(1, 10);
      if (*rc::gen::arbitrary<bool>()) {
        const bool fits = unfinished + count <= 20;
        RC_ASSERT(local_quota.Admit(team, TaskCount(count)).has_value() == fits);
        unfinished += fits ? count : 0;
      } else {
        local_quota.ReleaseTasks(team, TaskCount(count));
        unfinished = std::max<int64_t>(0, unfinished - count);
      }
      started += local_quota.TryStartTasks(team, EventCount(count)).has_value() ? count : 0;
      RC_ASSERT(local_quota.UnfinishedTasks(team) == TaskCount(unfinished));
      RC_ASSERT(started * 1'000'000 <= 7'000'000 + (local_clock.Now() - started_at).count());
    }
  }));
}

// Guards against data races between admissions and a configuration change (thread sanitizer), and
// against two threads that both are admitted for the last task below the limit.
TEST(TeamQuota, ConcurrentAdmissionsKeepTheLimit) {
  constexpr int kTeamCount = 20;
  TeamQuota::LimitsByTeam limits;
  for (int i = 0; i < kTeamCount; ++i) {
    limits[TeamId(std::to_string(i))] = MakeLimits(3, 1'000'000, 1'000'000);
  }
  quota.ReplaceLimits(Version(2), limits);
  std::atomic<int> above_limit_count{0};
  RunOnThreads([&](int thread) {
    for (int i = 0; i < 2000; ++i) {
      const TeamId team(std::to_string(i % kTeamCount));
      if (thread == 0 && i % 100 == 0) {
        quota.ReplaceLimits(Version(3 + i), limits);
      }
      if (quota.Admit(team, TaskCount(1))) {
        above_limit_count += quota.UnfinishedTasks(team) > TaskCount(3) ? 1 : 0;
        quota.TryStartTasks(team, EventCount(1));
        quota.ReleaseTasks(team, TaskCount(1));
      }
    }
  });
  LONGS_EQUAL(0, above_limit_count.load());
  for (const auto& [team, team_limits] : limits) {
    LONGS_EQUAL(0, quota.UnfinishedTasks(team).value());
  }
}

}  // namespace sapphirecrank::limits
