#include "runs/waiting_task_summary.h"

#include <CppUTest/TestHarness.h>

#include <map>
#include <string>
#include <vector>

using namespace sapphirecrank;  // NOLINT(google-build-using-namespace)
using base::TaskCount;

namespace {

base::Resources Cores(int64_t cores, int64_t gigabytes = 0) {
  return {base::MilliCores(cores * 1000), base::ByteCount(gigabytes << 30),
          base::AcceleratorCount(0)};
}

}  // namespace

TEST_GROUP(WaitingTaskSummary) {
  std::map<std::string, runs::LeasedTarget> targets;

  void AddTarget(const std::string& id, const char* label, int64_t used_cores) {
    runs::LeasedTarget& target = this->targets[id];
    target.report.capacity = Cores(16, 64);
    target.report.labels = {base::LabelId(label)};
    target.used_resources = Cores(used_cores);
  }

  static runs::PlacedBatch MakeBatch(const char* label, const base::Resources& size,
                                     size_t waiting_count, int maximum_per_target = 0) {
    runs::PlacedBatch placed;
    placed.batch.priority = base::Priority(1);
    placed.batch.placement_rule = {base::LabelId(label), TaskCount(maximum_per_target)};
    for (size_t i = 0; i < waiting_count; ++i) {
      placed.batch.tasks.push_back({{}, size});
      placed.waiting_tasks.push_back(i);
    }
    return placed;
  }

  runs::CapacityReport::ServiceCapacity Summarize(const std::vector<runs::PlacedBatch>& batches,
                                                  int64_t free_task_capacity) const {
    std::vector<const runs::LeasedTarget*> usable_targets;
    for (const auto& [id, target] : this->targets) {
      usable_targets.push_back(&target);
    }
    runs::WaitingTaskSummary summary(usable_targets);
    for (const runs::PlacedBatch& placed : batches) {
      summary.Add(placed);
    }
    runs::CapacityReport::ServiceCapacity capacity;
    capacity.free_task_capacity = TaskCount(free_task_capacity);
    summary.WriteTo(capacity);
    return capacity;
  }
};

// Guards against tasks for scarce targets that count as a backlog of all targets (review/13, LOST).
TEST(WaitingTaskSummary, ReportsHowManyTasksTheSuitableTargetsHold) {
  this->AddTarget("t1", "a", 0);
  this->AddTarget("t2", "a", 0);
  this->AddTarget("t3", "b", 16);
  const auto capacity = this->Summarize({MakeBatch("b", Cores(5), 20)}, 6);
  LONGS_EQUAL(20, capacity.waiting_task_count.value());
  LONGS_EQUAL(1, capacity.blocked_tasks.size());
  CHECK(capacity.blocked_tasks[0].requirements.required_label == base::LabelId("b"));
  LONGS_EQUAL(3, capacity.blocked_tasks[0].capacity.value());
  LONGS_EQUAL(20, capacity.blocked_tasks[0].waiting_by_priority[0].count.value());
}

// Guards against the same for other reasons that keep tasks from free capacity: memory, and targets
// that are gone.
TEST(WaitingTaskSummary, ReportsTasksThatCannotUseFreeCapacity) {
  this->AddTarget("t1", "a", 0);
  this->targets.at("t1").used_resources = Cores(1, 64);
  const auto full_memory = this->Summarize({MakeBatch("", Cores(1, 16), 9)}, 15);
  LONGS_EQUAL(1, full_memory.blocked_tasks.size());
  LONGS_EQUAL(4, full_memory.blocked_tasks[0].capacity.value());
  const auto no_target = this->Summarize({MakeBatch("gone", Cores(1), 9)}, 15);
  LONGS_EQUAL(0, no_target.waiting_task_count.value());
  LONGS_EQUAL(1, no_target.blocked_tasks.size());
  LONGS_EQUAL(0, no_target.blocked_tasks[0].capacity.value());
}

// Guards against a backlog that isn't seen: tasks that could run on each target wait while nothing
// is free.
TEST(WaitingTaskSummary, TasksThatWaitForAnyTargetAreNotBlocked) {
  this->AddTarget("t1", "a", 16);
  this->AddTarget("t2", "a", 16);
  const auto capacity = this->Summarize({MakeBatch("", Cores(5), 20)}, 0);
  LONGS_EQUAL(20, capacity.waiting_task_count.value());
  LONGS_EQUAL(0, capacity.blocked_tasks.size());
}

// Guards against tasks that count as a backlog although they wait for others of their own step: no
// two of them may run on one target.
TEST(WaitingTaskSummary, TasksThatWaitForTheirOwnStepAreNotCounted) {
  this->AddTarget("t1", "a", 1);
  const auto capacity = this->Summarize({MakeBatch("", Cores(1), 20, 1)}, 15);
  LONGS_EQUAL(0, capacity.waiting_task_count.value());
  LONGS_EQUAL(0, capacity.blocked_tasks.size());
  this->AddTarget("t1", "a", 16);
  LONGS_EQUAL(20, this->Summarize({MakeBatch("", Cores(1), 20, 1)}, 0).waiting_task_count.value());
}

// Guards against reports whose size grows with the number of different tasks that wait.
TEST(WaitingTaskSummary, ListsABoundedNumberOfKinds) {
  this->AddTarget("t1", "a", 16);
  this->AddTarget("t2", "b", 16);
  std::vector<runs::PlacedBatch> batches;
  for (int64_t size = 1; size <= 16; ++size) {
    batches.push_back(MakeBatch("b", Cores(size), 2));
  }
  const auto capacity = this->Summarize(batches, 0);
  LONGS_EQUAL(8, capacity.blocked_tasks.size());
  LONGS_EQUAL(32, capacity.waiting_task_count.value());
}
