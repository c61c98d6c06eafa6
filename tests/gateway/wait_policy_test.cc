#include "gateway/wait_policy.h"

#include <CppUTest/TestHarness.h>

using namespace sapphirecrank;  // NOLINT(google-build-using-namespace)
using gateway::WaitPolicy;
using std::chrono::milliseconds;

TEST_GROUP(WaitPolicy) {
  gateway::Job job;
  gateway::JobStep step;
  WaitPolicy::Progress progress;

  void setup() override {
    // A task of 60 ms that may take 140 ms.
    this->job.latency_objective = milliseconds(50);
    this->job.maximum_slowdown = 1.5;
    this->step.estimated_run_time = milliseconds(60);
    this->progress.time_left = milliseconds(1400);
  }
};

// Guards against a first wait that leaves no time for the rest of the job, or none at all.
TEST(WaitPolicy, LimitsTheFirstWaitToAShareOfTheAllowedTime) {
  CHECK(WaitPolicy::FirstWait(this->job, this->step) == milliseconds(60));
  this->job.maximum_slowdown = 0.5;
  CHECK(WaitPolicy::FirstWait(this->job, this->step) == base::Duration(milliseconds(75)) / 2);
}

// Pattern: one kind asks for several times its usual rate. Guards against refusing a job that free
// capacity elsewhere would still serve in time, and against starting one that ends too late.
TEST(WaitPolicy, AllowsAFurtherPlacementWhileTheObjectiveCanBeMet) {
  this->progress.step_age = milliseconds(62);
  CHECK(WaitPolicy::WaitAfterRefusal(this->job, this->step, this->progress) == milliseconds(8));
  this->progress.step_age = milliseconds(70);
  CHECK_FALSE(WaitPolicy::WaitAfterRefusal(this->job, this->step, this->progress).has_value());
  // A job of which an earlier step has run would end as unfinished.
  this->progress.may_have_run = true;
  CHECK(WaitPolicy::WaitAfterRefusal(this->job, this->step, this->progress) == milliseconds(1330));
}

// Guards against starting work that can't end before the caller's deadline, and against a wait that
// goes beyond it.
TEST(WaitPolicy, AllowsNoFurtherPlacementThatEndsAfterTheDeadline) {
  this->progress.step_age = milliseconds(10);
  this->progress.time_left = milliseconds(70);
  CHECK_FALSE(WaitPolicy::WaitAfterRefusal(this->job, this->step, this->progress).has_value());
  CHECK_FALSE(WaitPolicy::WaitAfterReturn(this->job, this->step, this->progress).has_value());
  this->progress.time_left = milliseconds(75);
  CHECK(WaitPolicy::WaitAfterRefusal(this->job, this->step, this->progress) == milliseconds(5));
  CHECK(WaitPolicy::WaitAfterReturn(this->job, this->step, this->progress) == milliseconds(5));
}

// Guards against a batch that goes from one full allocator to the next, each time for two messages.
TEST(WaitPolicy, BoundsTheNumberOfPlacements) {
  this->progress.step_age = milliseconds(5);
  this->progress.placement_count = 2;
  CHECK(WaitPolicy::WaitAfterRefusal(this->job, this->step, this->progress).has_value());
  this->progress.placement_count = 3;
  CHECK_FALSE(WaitPolicy::WaitAfterRefusal(this->job, this->step, this->progress).has_value());
  CHECK(WaitPolicy::WaitAfterReturn(this->job, this->step, this->progress).has_value());
  this->progress.placement_count = 8;
  CHECK_FALSE(WaitPolicy::WaitAfterReturn(this->job, this->step, this->progress).has_value());
}

// Pattern: an allocator is emptied under load. Guards against refusing returned tasks because their
// wait limit has just passed, and against a refusal of tasks of which others may have run, which
// would end the job as unfinished although there is time left.
TEST(WaitPolicy, KeepsTheRemainingWaitOfReturnedTasks) {
  this->progress.step_age = milliseconds(20);
  CHECK(WaitPolicy::WaitAfterReturn(this->job, this->step, this->progress) == milliseconds(40));
  this->progress.step_age = milliseconds(59);
  CHECK(WaitPolicy::WaitAfterReturn(this->job, this->step, this->progress) == milliseconds(25));
  this->progress.may_have_run = true;
  CHECK(WaitPolicy::WaitAfterReturn(this->job, this->step, this->progress) == milliseconds(1400));
}
