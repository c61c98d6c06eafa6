#include "runs/returnable_tasks.h"

#include <CppUTest/TestHarness.h>

using namespace sapphirecrank;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;

TEST_GROUP(ReturnableTasks) {
  base::TimePoint now{std::chrono::seconds(100)};
  runs::PlacedBatch placed;

  /// Makes a batch of tasks that all wait, each queued 1 ms after the one before it.
  void MakeWaitingTasks(uint32_t count) {
    this->placed.batch.key.job = base::SubmissionId("job");
    this->placed.tasks.resize(count);
    for (uint32_t i = 0; i < count; ++i) {
      this->placed.batch.tasks.push_back({this->TaskKey(i), {}});
      this->placed.tasks[i].queued_at = this->now + milliseconds(i);
      this->placed.waiting_tasks.push_back(i);
    }
  }

  static runs::JobTaskKey TaskKey(uint32_t index) {
    return {base::SubmissionId("job"), base::OccurrenceNumber(), base::StepIndex(),
            base::TaskIndex(index)};
  }
};

// Guards against returning a task with a run that may be active, or one that may still wait.
TEST(ReturnableTasks, LeavesOutReservedAndLaterTasks) {
  this->MakeWaitingTasks(4);
  const runs::ReturnableTasks returnable(this->placed, {this->TaskKey(1)},
                                         this->now + milliseconds(2));
  LONGS_EQUAL(2, returnable.positions().size());
  returnable.RemoveFrom(this->placed);
  LONGS_EQUAL(2, this->placed.waiting_tasks.size());
  LONGS_EQUAL(1, this->placed.waiting_tasks[0]);
  LONGS_EQUAL(3, this->placed.waiting_tasks[1]);
  CHECK_TRUE(this->placed.tasks[0].is_returned);
  CHECK_FALSE(this->placed.tasks[1].is_returned);
}

// Guards against a run number that an earlier run of the task has used, and against a refusal that
// says "not run" after a run.
TEST(ReturnableTasks, NamesTheNextRunAndWhetherThereWasOne) {
  this->MakeWaitingTasks(2);
  this->placed.tasks[1].last_run_number = base::RunNumber(4);
  const runs::ReturnableTasks returnable(this->placed, {}, this->now + milliseconds(2));
  runs::ReturnedTasks message = returnable.MakeMessage(this->placed, "reason");
  CHECK(message.key == this->placed.batch.key);
  CHECK(message.tasks[0].next_run == base::RunNumber(1));
  CHECK(message.tasks[1].next_run == base::RunNumber(5));
  CHECK_FALSE(message.may_have_run);
  this->placed.tasks[1].start_count = 1;
  CHECK_TRUE(returnable.MakeMessage(this->placed, "reason").may_have_run);
}
