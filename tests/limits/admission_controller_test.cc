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

constexpr AdmissionController::QueueBounds kBounds{TaskCount(4), TaskCount(8), TaskCount(20)};

}  // namespace

TEST_GROUP(AdmissionController) {
  const TeamId team{"tags"};
  base::ManualClock clock;
  std::atomic<int> drained{0};
  TeamQuota quota{{clock.AsClock()}};
  AdmissionController controller{quota, kBounds, {clock.AsClock(), [this] { ++drained; }}};

  void setup() override {
    const TeamLimits limits{TaskCount(12), EventsPerSecond(1000), EventCount(1000)};
    quota.ReplaceLimits(base::Version(1),
                        {{team, limits}, {TeamId("1"), limits}, {TeamId("2"), limits}});
  }

  AdmissionRequest Work(PriorityClass work_class, int64_t tasks) const {
    return {team, work_class, TaskCount(tasks), clock.Now() + seconds(1)};
  }

  void CheckRefused(const Admission& admission, ErrorCode code, const char* field) {
    CHECK(!admission);
    CHECK(admission.error().error.code == code);
    STRCMP_EQUAL(field, admission.error().error.field.c_str());
    CHECK(admission.error().error.verdict == base::ExecutionVerdict::kNotRun);
    CHECK_EQUAL(code == ErrorCode::kOverloaded, admission.error().retry_after > base::Duration(0));
  }
};

// Guards against a refusal with the wrong reason or field, or one that says to wait in vain.
TEST(AdmissionController, RefusalsNameTheReason) {
  AdmissionRequest late = Work(PriorityClass::kUrgent, 1);
  late.deadline = clock.Now();
  CheckRefused(controller.Admit(late), ErrorCode::kDeadlineExceeded, "deadline_ms");
  AdmissionRequest unknown = Work(PriorityClass::kUrgent, 1);
  unknown.team = TeamId("nobody");
  CheckRefused(controller.Admit(unknown), ErrorCode::kNotFound, "team");
  CheckRefused(controller.Admit(Work(PriorityClass::kUrgent, 5)), ErrorCode::kTooLarge, "tasks");
  CheckRefused(controller.Admit(Work(PriorityClass::kUrgent, 0)), ErrorCode::kInvalidArgument,
               "tasks");
  CHECK(controller.Admit(Work(PriorityClass::kUrgent, 4)).has_value());
  CheckRefused(controller.Admit(Work(PriorityClass::kUrgent, 1)), ErrorCode::kOverloaded, "class");
  CHECK(controller.Admit(Work(PriorityClass::kOrdinary, 8)).has_value());
  CheckRefused(controller.Admit(Work(PriorityClass::kBulk, 1)), ErrorCode::kOverloaded, "team");
  controller.ShutDown();
  CheckRefused(controller.Admit(Work(PriorityClass::kBulk, 1)), ErrorCode::kShuttingDown, "");
}

// Guards against a shutdown that ends while a request is in flight, or never.
TEST(AdmissionController, ShutdownWaitsForWorkInFlight) {
  CHECK(controller.Admit(Work(PriorityClass::kUrgent, 3)).has_value());
  controller.OnTasksStarted(team, PriorityClass::kUrgent, TaskCount(2));
  controller.ShutDown();
  controller.OnTasksRequeued(team, PriorityClass::kUrgent, TaskCount(1));
  controller.OnTasksDropped(team, PriorityClass::kUrgent, TaskCount(2));
  LONGS_EQUAL(0, drained.load());
  controller.OnTasksEnded(team, TaskCount(1));
  LONGS_EQUAL(1, drained.load());
  controller.ShutDown();
  LONGS_EQUAL(1, drained.load());
}

// Guards against work that is admitted after the shutdown was reported as done, when the shutdown
// begins between two steps of the admission.
TEST(AdmissionController, ShutdownDuringAdmissionRefuses) {
  AdmissionController* shut_down_by_clock = nullptr;
  AdmissionController racing(quota, kBounds,
                             {[&] {
                                if (shut_down_by_clock != nullptr) {
                                  shut_down_by_clock->ShutDown();
                                }
                                return clock.Now();
                              },
                              [this] { ++drained; }});
  shut_down_by_clock = &racing;
  CheckRefused(racing.Admit(Work(PriorityClass::kUrgent, 1)), ErrorCode::kShuttingDown, "");
  LONGS_EQUAL(1, drained.load());
  LONGS_EQUAL(0, quota.UnfinishedTasks(team).value());
}

// Guards against a denied admission that changes a count, counts outside of their bounds, and
// places that are not given back.
TEST(AdmissionController, CountsStayWithinBounds) {
  CHECK(rc::check([this] {
    TeamQuota limited{{clock.AsClock()}};
    limited.ReplaceLimits(base::Version(1), {{team, {TaskCount(25), {}, {}}}});
    AdmissionController tried(limited, kBounds, {clock.AsClock(), [] {}});
    std::array<int64_t, 3> queued{};
    int64_t started = 0;
    const auto in_flight = [&] { return queued[0] + queued[1] + queued[2] + started; };
    const int steps = *rc::gen::inRange(1, 100);
    for (int step = 0; step < steps; ++step) {
      const auto work_class = *rc::gen::inRange(0, 3);
      const auto named = static_cast<PriorityClass>(work_class);
      const auto count = *rc::gen::inRange<int64_t>(1, 6);
      const auto leaving = TaskCount(std::min(count, queued[work_class]));
      switch (*rc::gen::inRange(0, 4)) {
        case 0: {
          const bool fits = queued[work_class] + count <= kBounds[work_class].value() &&
                            in_flight() + count <= 25;
          RC_ASSERT(tried.Admit(Work(named, count)).has_value() == fits);
          queued[work_class] += fits ? count : 0;
          break;
        }
        case 1:
          tried.OnTasksStarted(team, named, leaving);
          queued[work_class] -= leaving.value();
          started += leaving.value();
          break;
        case 2:
          tried.OnTasksDropped(team, named, leaving);
          queued[work_class] -= leaving.value();
          break;
        default:
          tried.OnTasksEnded(team, TaskCount(std::min(count, started)));
          started -= std::min(count, started);
      }
      RC_ASSERT(tried.QueuedTasks(team, named) == TaskCount(queued[work_class]));
      RC_ASSERT(tried.TasksInFlight() == TaskCount(in_flight()));
      RC_ASSERT(limited.UnfinishedTasks(team) == TaskCount(in_flight()));
    }
  }));
}

// Guards against data races (thread sanitizer), work admitted after the shutdown was reported as
// done, and a shutdown that is reported twice or never.
TEST(AdmissionController, ConcurrentShutdownIsReportedOnce) {
  std::atomic<int> admitted_late{0};
  RunOnThreads([&](int thread) {
    for (int i = 0; i < 1000; ++i) {
      AdmissionRequest request = Work(PriorityClass::kBulk, 1);
      request.team = TeamId(std::to_string(1 + i % 2));
      const bool done = drained.load() > 0;
      if (controller.Admit(request)) {
        admitted_late += done || drained.load() > 0 ? 1 : 0;
        controller.OnTasksStarted(request.team, request.priority_class, TaskCount(1));
        controller.OnTasksEnded(request.team, TaskCount(1));
      }
      if (thread == 0 && i == 500) {
        controller.ShutDown();
      }
    }
  });
  LONGS_EQUAL(0, admitted_late.load());
  LONGS_EQUAL(1, drained.load());
  LONGS_EQUAL(0, controller.TasksInFlight().value());
}

}  // namespace sapphirecrank::limits
