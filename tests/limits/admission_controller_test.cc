#include "limits/admission_controller.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <array>
#include <atomic>
#include <string>

#include "base/manual_clock.h"
#include "tests/limits/run_on_threads.h"

namespace sapphirecrank::limits {

using base::ErrorCode;
using base::PriorityClass;
using base::TaskCount;
using base::TeamId;
using std::chrono::seconds;

namespace {

constexpr AdmissionController::QueueBounds kQueueBounds{TaskCount(4), TaskCount(8), TaskCount(20)};

}  // namespace

TEST_GROUP(AdmissionController) {
  const TeamId team{"tags"};
  base::ManualClock clock;
  std::atomic<int> drained_count{0};
  TeamQuota quota{{clock.AsClock()}};
  AdmissionController controller{
      quota, kQueueBounds, {clock.AsClock(), [this] { ++drained_count; }}};

  void setup() override {
    const TeamLimits limits{TaskCount(12), EventsPerSecond(1000), EventCount(1000)};
    quota.ReplaceLimits(base::Version(1),
                        {{team, limits}, {TeamId("1"), limits}, {TeamId("2"), limits}});
  }

  AdmissionRequest MakeRequest(PriorityClass priority_class, int64_t task_count) const {
    return {team, priority_class, TaskCount(task_count), clock.Now() + seconds(1)};
  }

  void CheckRefused(const Admission& admission, ErrorCode code, const char* field) {
    CHECK(!admission);
    CHECK(admission.error().error.code == code);
    STRCMP_EQUAL(field, admission.error().error.field.c_str());
    CHECK(admission.error().error.verdict == base::ExecutionVerdict::kNotRun);
    CHECK_EQUAL(code == ErrorCode::kOverloaded, admission.error().retry_after > base::Duration(0));
  }
};

// Guards against a refusal with the wrong code or field, and against a `retry_after` where waiting
// doesn't help.
TEST(AdmissionController, RefusalsNameTheReason) {
  AdmissionRequest expired_request = MakeRequest(PriorityClass::kUrgent, 1);
  expired_request.deadline = clock.Now();
  CheckRefused(controller.Admit(expired_request), ErrorCode::kDeadlineExceeded, "deadline_ms");
  AdmissionRequest unknown_team_request = MakeRequest(PriorityClass::kUrgent, 1);
  unknown_team_request.team = TeamId("nobody");
  CheckRefused(controller.Admit(unknown_team_request), ErrorCode::kNotFound, "team");
  CheckRefused(controller.Admit(MakeRequest(PriorityClass::kUrgent, 5)), ErrorCode::kTooLarge,
               "tasks");
  CheckRefused(controller.Admit(MakeRequest(PriorityClass::kUrgent, 0)),
               ErrorCode::kInvalidArgument, "tasks");
  CHECK(controller.Admit(MakeRequest(PriorityClass::kUrgent, 4)).has_value());
  CheckRefused(controller.Admit(MakeRequest(PriorityClass::kUrgent, 1)), ErrorCode::kOverloaded,
               "class");
  CHECK(controller.Admit(MakeRequest(PriorityClass::kOrdinary, 8)).has_value());
  CheckRefused(controller.Admit(MakeRequest(PriorityClass::kBulk, 1)), ErrorCode::kOverloaded,
               "team");
  controller.ShutDown();
  CheckRefused(controller.Admit(MakeRequest(PriorityClass::kBulk, 1)), ErrorCode::kShuttingDown,
               "");
}

// Guards against a shutdown that is reported while tasks are in flight, twice, or never.
TEST(AdmissionController, ShutdownWaitsForWorkInFlight) {
  CHECK(controller.Admit(MakeRequest(PriorityClass::kUrgent, 3)).has_value());
  controller.OnTasksStarted(team, PriorityClass::kUrgent, TaskCount(2));
  controller.ShutDown();
  controller.OnTasksRequeued(team, PriorityClass::kUrgent, TaskCount(1));
  controller.OnTasksDropped(team, PriorityClass::kUrgent, TaskCount(2));
  LONGS_EQUAL(0, drained_count.load());
  controller.OnTasksEnded(team, TaskCount(1));
  LONGS_EQUAL(1, drained_count.load());
  controller.ShutDown();
  LONGS_EQUAL(1, drained_count.load());
}

// Guards against work that is admitted after the shutdown was reported as drained, because the
// shutdown began between two steps of the admission. The clock, which `Admit` reads between these
// steps, starts the shutdown.
TEST(AdmissionController, ShutdownDuringAdmissionRefuses) {
  AdmissionController* shut_down_by_clock = nullptr;
  AdmissionController racing_controller(quota, kQueueBounds,
                                        {[&] {
                                           if (shut_down_by_clock != nullptr) {
                                             shut_down_by_clock->ShutDown();
                                           }
                                           return clock.Now();
                                         },
                                         [this] { ++drained_count; }});
  shut_down_by_clock = &racing_controller;
  CheckRefused(racing_controller.Admit(MakeRequest(PriorityClass::kUrgent, 1)),
               ErrorCode::kShuttingDown, "");
  LONGS_EQUAL(1, drained_count.load());
  LONGS_EQUAL(0, quota.UnfinishedTasks(team).value());
}

// Guards against a refused admission that changes a count, counts outside of their bounds, and
// quota that is not released.
TEST(AdmissionController, CountsStayWithinBounds) {
  CHECK(rc::check([this] {
    TeamQuota local_quota{{clock.AsClock()}};
    local_quota.ReplaceLimits(base::Version(1), {{team, {TaskCount(25), {}, {}}}});
    AdmissionController local_controller(local_quota, kQueueBounds, {clock.AsClock(), [] {}});
    std::array<int64_t, 3> queued{};
    int64_t started = 0;
    const auto tasks_in_flight = [&] { return queued[0] + queued[1] + queued[2] + started; };
    const int step_count = *rc::gen::inRange(1, 100);
    for (int step = 0; step < step_count; ++step) {
      const auto class_index = *rc::gen::inRange(0, 3);
      const auto priority_class = static_cast<PriorityClass>(class_index);
      const auto count = *rc::gen::inRange<int64_t>(1, 6);
      const auto removed_tasks = TaskCount(std::min(count, queued[class_index]));
      switch (*rc::gen::inRange(0, 4)) {
        case 0: {
          const bool fits = queued[class_index] + count <= kQueueBounds[class_index].value() &&
                            tasks_in_flight() + count <= 25;
          RC_ASSERT(local_controller.Admit(MakeRequest(priority_class, count)).has_value() == fits);
          queued[class_index] += fits ? count : 0;
          break;
        }
        case 1:
          local_controller.OnTasksStarted(team, priority_class, removed_tasks);
          queued[class_index] -= removed_tasks.value();
          started += removed_tasks.value();
          break;
        case 2:
          local_controller.OnTasksDropped(team, priority_class, removed_tasks);
          queued[class_index] -= removed_tasks.value();
          break;
        default:
          local_controller.OnTasksEnded(team, TaskCount(std::min(count, started)));
          started -= std::min(count, started);
      }
      RC_ASSERT(local_controller.QueuedTasks(team, priority_class) ==
                TaskCount(queued[class_index]));
      RC_ASSERT(local_controller.TasksInFlight() == TaskCount(tasks_in_flight()));
      RC_ASSERT(local_quota.UnfinishedTasks(team) == TaskCount(tasks_in_flight()));
    }
  }));
}

// Guards against data races (thread sanitizer), work that is admitted after the shutdown was
// reported as drained, and a shutdown that is reported twice or never.
TEST(AdmissionController, ConcurrentShutdownIsReportedOnce) {
  std::atomic<int> admitted_after_drain{0};
  RunOnThreads([&](int thread) {
    for (int i = 0; i < 1000; ++i) {
      AdmissionRequest request = MakeRequest(PriorityClass::kBulk, 1);
      request.team = TeamId(std::to_string(1 + i % 2));
      const bool was_drained = drained_count.load() > 0;
      if (controller.Admit(request)) {
        admitted_after_drain += was_drained || drained_count.load() > 0 ? 1 : 0;
        controller.OnTasksStarted(request.team, request.priority_class, TaskCount(1));
        controller.OnTasksEnded(request.team, TaskCount(1));
      }
      if (thread == 0 && i == 500) {
        controller.ShutDown();
      }
    }
  });
  LONGS_EQUAL(0, admitted_after_drain.load());
  LONGS_EQUAL(1, drained_count.load());
  LONGS_EQUAL(0, controller.TasksInFlight().value());
}

}  // namespace sapphirecrank::limits
