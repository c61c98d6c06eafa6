#include "gateway/backlog.h"

#include <CppUTest/TestHarness.h>

using namespace sapphirecrank;  // NOLINT(google-build-using-namespace)
using base::Priority;
using base::TaskCount;
using gateway::Backlog;

TEST_GROUP(Backlog) {
  const runs::TaskRequirements scarce_task = MakeRequirements("b", 4);
  runs::CapacityReport::ServiceCapacity capacity;

  static runs::TaskRequirements MakeRequirements(const char* label, int64_t cores) {
    return {base::LabelId(label),
            {base::MilliCores(cores * 1000), base::ByteCount(0), base::AcceleratorCount(0)}};
  }

  /// 24 places, of which 6 are free; 20 tasks wait for targets that hold 6 of them.
  void setup() override {
    this->capacity.total_task_capacity = TaskCount(24);
    this->capacity.free_task_capacity = TaskCount(6);
    this->capacity.waiting_task_count = TaskCount(20);
    this->capacity.waiting_by_priority = {{Priority(1), TaskCount(15)},
                                          {Priority(2), TaskCount(5)}};
    this->capacity.blocked_tasks = {
        {this->scarce_task, TaskCount(6), this->capacity.waiting_by_priority}};
  }

  Backlog BacklogFor(const runs::TaskRequirements& requirements) const {
    return {this->capacity, requirements};
  }
};

// Guards against tasks that are held back by others which can't use the same capacity (review/13,
// LOST), and against untrue refusals because of them.
TEST(Backlog, TasksForScarceTargetsHoldBackNoMoreThanTheseTargetsHold) {
  for (const char* label : {"", "a"}) {
    const runs::TaskRequirements other = MakeRequirements(label, 4);
    LONGS_EQUAL(6, this->BacklogFor(other).TasksAhead({}).value());
    LONGS_EQUAL(6, this->BacklogFor(other).TasksAhead(Priority(1)).value());
    CHECK_TRUE(this->BacklogFor(other).HasFreeCapacity(TaskCount(6)));
    CHECK_FALSE(this->BacklogFor(other).HasFreeCapacity(TaskCount(7)));
    CHECK_FALSE(this->BacklogFor(other).IsFull());
  }
}

// Guards against more and more tasks that are placed where others wait for the same scarce targets.
TEST(Backlog, TasksForScarceTargetsHoldBackOthersOfTheirKind) {
  for (const int64_t cores : {4, 8}) {
    const runs::TaskRequirements same_kind = MakeRequirements("b", cores);
    LONGS_EQUAL(20, this->BacklogFor(same_kind).TasksAhead({}).value());
    LONGS_EQUAL(15, this->BacklogFor(same_kind).TasksAhead(Priority(1)).value());
    CHECK_FALSE(this->BacklogFor(same_kind).HasFreeCapacity(TaskCount(1)));
    CHECK_TRUE(this->BacklogFor(same_kind).IsFull());
  }
  CHECK_FALSE(this->BacklogFor(MakeRequirements("b", 2)).IsFull());
}

// Guards against many placements between two reports.
TEST(Backlog, CountsPlacementsSinceTheReport) {
  this->capacity.blocked_tasks[0].waiting_by_priority = {{Priority(1), TaskCount(4)}};
  CHECK_FALSE(this->BacklogFor(this->scarce_task).IsFull());
  Backlog::RecordPlacement(this->capacity, this->scarce_task, TaskCount(2));
  CHECK_TRUE(this->BacklogFor(this->scarce_task).IsFull());
  LONGS_EQUAL(6, this->capacity.free_task_capacity.value());
  Backlog::RecordPlacement(this->capacity, MakeRequirements("", 4), TaskCount(2));
  LONGS_EQUAL(4, this->capacity.free_task_capacity.value());
}

// Guards against tasks without a suitable target that are placed with the same allocator again and
// again, and that hold back others.
TEST(Backlog, TasksWithoutASuitableTargetHoldBackOnlyTheirKind) {
  this->capacity.waiting_task_count = TaskCount(0);
  this->capacity.waiting_by_priority.clear();
  this->capacity.blocked_tasks[0].capacity = TaskCount(0);
  CHECK_TRUE(this->BacklogFor(this->scarce_task).IsFull());
  const runs::TaskRequirements other = MakeRequirements("", 4);
  LONGS_EQUAL(0, this->BacklogFor(other).TasksAhead({}).value());
  CHECK_TRUE(this->BacklogFor(other).HasFreeCapacity(TaskCount(6)));
}
