#include "runs/capacity_reserver.h"

#include <CppUTest/TestHarness.h>

#include <map>
#include <string>
#include <vector>

using namespace sapphirecrank;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;

namespace {

base::Resources Cores(int64_t cores) {
  return {base::MilliCores(cores * 1000), base::ByteCount(0), base::AcceleratorCount(0)};
}

}  // namespace

TEST_GROUP(CapacityReserver) {
  base::TimePoint now{std::chrono::seconds(100)};
  std::map<base::TargetId, runs::LeasedTarget> targets;
  std::map<runs::BatchKey, runs::PlacedBatch> batches;
  runs::CapacityReserver reserver;

  void AddTarget(const char* id, int64_t used_cores) {
    runs::LeasedTarget& target = this->targets[base::TargetId(id)];
    target.report.id = base::TargetId(id);
    target.report.capacity = Cores(16);
    target.used_resources = Cores(used_cores);
  }

  /// Adds a run that uses all used resources of a target.
  void AddRun(const char* target_id, base::Duration age, base::Duration expected_run_time) {
    const runs::BatchKey batch{base::HostId("g"), base::SubmissionId("running"),
                               base::BatchNumber(1)};
    this->batches[batch].batch.expected_run_time = expected_run_time;
    runs::LeasedTarget& target = this->targets.at(base::TargetId(target_id));
    runs::TargetRun run;
    run.batch = batch;
    run.required_resources = target.used_resources;
    run.start_requested_at = this->now - age;
    target.runs.emplace(runs::RunKey(), run);
  }

  runs::PlacedBatch MakeWaitingBatch(uint64_t arrival_number, size_t task_count) {
    runs::PlacedBatch placed;
    placed.batch.key.job = base::SubmissionId("job" + std::to_string(arrival_number));
    placed.arrival_number = arrival_number;
    for (size_t i = 0; i < task_count; ++i) {
      placed.batch.tasks.push_back({{}, Cores(16)});
      placed.waiting_tasks.push_back(i);
    }
    return placed;
  }

  void Reserve(const runs::PlacedBatch& placed) {
    std::vector<const runs::LeasedTarget*> usable_targets;
    usable_targets.reserve(this->targets.size());
    for (const auto& [id, target] : this->targets) {
      usable_targets.push_back(&target);
    }
    this->reserver.Reserve(placed, usable_targets, this->batches, this->now);
  }
};

// Guards against a large task that waits for a target which becomes free last, and against
// reservations that leave less than half of the capacity for other tasks.
TEST(CapacityReserver, ReservesTheFreestTargetsUpToHalfOfTheCapacity) {
  this->AddTarget("t1", 12);
  this->AddTarget("t2", 1);
  this->AddTarget("t3", 8);
  this->AddTarget("t4", 2);
  this->Reserve(this->MakeWaitingBatch(1, 4));
  const auto& targets = this->reserver.reservation()->targets;
  LONGS_EQUAL(2, targets.size());
  LONGS_EQUAL(1, targets.count(base::TargetId("t2")));
  LONGS_EQUAL(1, targets.count(base::TargetId("t4")));
}

// Guards against more reserved targets than the batch has tasks that wait.
TEST(CapacityReserver, ReservesOneTargetForEachWaitingTask) {
  for (const char* id : {"t1", "t2", "t3", "t4"}) {
    this->AddTarget(id, 1);
  }
  this->Reserve(this->MakeWaitingBatch(1, 1));
  LONGS_EQUAL(1, this->reserver.reservation()->targets.size());
}

// Guards against capacity that stays idle for a task whose target a long run uses.
TEST(CapacityReserver, ReservesNoTargetWithARunThatMayLastLong) {
  this->AddTarget("t1", 1);
  this->AddRun("t1", milliseconds(1000), milliseconds(30));
  this->Reserve(this->MakeWaitingBatch(1, 1));
  CHECK_FALSE(this->reserver.reservation().has_value());
  this->targets.at(base::TargetId("t1")).runs.clear();
  this->AddRun("t1", milliseconds(1000), milliseconds(40));
  this->Reserve(this->MakeWaitingBatch(1, 1));
  CHECK_TRUE(this->reserver.reservation().has_value());
}

// Guards against a reservation for a later batch that takes the place of an earlier one's.
TEST(CapacityReserver, OnlyAnEarlierBatchReplacesAReservation) {
  this->AddTarget("t1", 1);
  const runs::PlacedBatch second = this->MakeWaitingBatch(2, 1);
  CHECK_TRUE(this->reserver.MayReserveFor(second, this->now));
  this->Reserve(second);
  CHECK_TRUE(this->reserver.IsReservedFor(second.batch.key));
  CHECK_FALSE(this->reserver.MayReserveFor(this->MakeWaitingBatch(3, 1), this->now));
  CHECK_TRUE(this->reserver.MayReserveFor(this->MakeWaitingBatch(1, 1), this->now));
}

// Guards against reserved targets that batches before the reserving one can't use either.
TEST(CapacityReserver, KeepsTargetsFromLaterBatchesOnly) {
  this->AddTarget("t1", 1);
  this->AddTarget("t2", 2);
  this->AddTarget("t3", 3);
  const runs::PlacedBatch second = this->MakeWaitingBatch(2, 1);
  this->Reserve(second);
  const base::TargetId reserved("t1");
  CHECK_FALSE(
      this->reserver.IsReservedForEarlierBatch(reserved, this->MakeWaitingBatch(1, 1).Position()));
  CHECK_FALSE(this->reserver.IsReservedForEarlierBatch(reserved, second.Position()));
  CHECK_TRUE(
      this->reserver.IsReservedForEarlierBatch(reserved, this->MakeWaitingBatch(3, 1).Position()));
  CHECK_FALSE(this->reserver.IsReservedForEarlierBatch(base::TargetId("t2"),
                                                       this->MakeWaitingBatch(3, 1).Position()));
}

// Guards against capacity that stays idle for a batch again and again, without a pause in which
// other tasks can use it.
TEST(CapacityReserver, PausesAfterAReservationThatHasLastedTooLong) {
  this->AddTarget("t1", 1);
  runs::PlacedBatch placed = this->MakeWaitingBatch(1, 1);
  this->Reserve(placed);
  LONGS_EQUAL(0, this->reserver.EndIfOverdue(placed, this->now + milliseconds(999)));
  this->now += milliseconds(1000);
  LONGS_EQUAL(1, this->reserver.EndIfOverdue(placed, this->now));
  CHECK_FALSE(this->reserver.reservation().has_value());
  CHECK_FALSE(this->reserver.MayReserveFor(placed, this->now + milliseconds(499)));
  CHECK_TRUE(this->reserver.MayReserveFor(placed, this->now + milliseconds(500)));
}
