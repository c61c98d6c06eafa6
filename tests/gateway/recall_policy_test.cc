#include "gateway/recall_policy.h"

#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

#include "base/manual_clock.h"

using namespace sapphirecrank;  // NOLINT(google-build-using-namespace)
using base::HostId;
using base::TaskCount;
using gateway::AllocatorCapacity;
using gateway::RecallCandidate;
using gateway::RecallPolicy;
using std::chrono::milliseconds;

TEST_GROUP(RecallPolicy) {
  base::ManualClock clock;
  double random_number = 0;
  RecallPolicy policy{[this] { return this->random_number; }};
  std::vector<AllocatorCapacity> capacities;

  AllocatorCapacity& AddAllocator(const char* host, int64_t free, int64_t waiting) {
    AllocatorCapacity known;
    known.allocator = HostId(host);
    known.is_near = true;
    known.accepts_recalls = true;
    known.reported_at = this->clock.Now();
    known.capacity.service = base::ServiceId("s");
    known.capacity.free_task_capacity = TaskCount(free);
    known.capacity.total_task_capacity = TaskCount(100);
    known.capacity.waiting_task_count = TaskCount(waiting);
    known.capacity.waiting_by_priority = {{base::Priority(0), TaskCount(waiting)}};
    this->capacities.push_back(known);
    return this->capacities.back();
  }

  /// Returns a batch that was placed 20 ms ago at "full", without free capacity there.
  RecallCandidate MakeBatch(const char* job, int64_t count = 8) {
    RecallCandidate batch;
    batch.job = base::SubmissionId(job);
    batch.allocator = HostId("full");
    batch.service = base::ServiceId("s");
    batch.task_count = TaskCount(count);
    batch.placed_at = this->clock.Now() - milliseconds(20);
    batch.may_wait_until = this->clock.Now() + milliseconds(40);
    return batch;
  }

  std::string RecalledJobs(const std::vector<RecallCandidate>& batches) {
    std::string jobs;
    for (const RecallCandidate& recall :
         this->policy.ChooseRecalls(batches, this->capacities, this->clock.Now())) {
      jobs += recall.job.value();
    }
    return jobs;
  }
};

// Pattern: room appears at another allocator while a batch waits. Guards against a batch that stays
// where it was placed until it is refused.
TEST(RecallPolicy, RecallsTheOldestBatchesOfTheHighestPriorityThatFit) {
  this->AddAllocator("full", 0, 16);
  this->AddAllocator("free", 16, 0);
  CHECK_TRUE(RecallPolicy::HasUnevenLoad(this->capacities));
  std::vector<RecallCandidate> batches = {this->MakeBatch("a"), this->MakeBatch("b"),
                                          this->MakeBatch("c")};
  batches[0].placed_at += milliseconds(2);
  batches[1].priority = base::Priority(1);
  STRCMP_EQUAL("ca", this->RecalledJobs(batches).c_str());
}

// Guards against moving batches between allocators of which none has free capacity, or where the
// free capacity is already taken by waiting tasks.
TEST(RecallPolicy, RecallsNothingWithoutFreeCapacity) {
  this->AddAllocator("full", 0, 24);
  this->AddAllocator("other", 16, 1);
  CHECK_FALSE(RecallPolicy::HasUnevenLoad(this->capacities));
  STRCMP_EQUAL("", this->RecalledJobs({this->MakeBatch("a")}).c_str());
  this->AddAllocator("small", 7, 0);
  STRCMP_EQUAL("", this->RecalledJobs({this->MakeBatch("a")}).c_str());
}

// Pattern: one kind asks for several times its usual rate. Guards against all gateways moving their
// waiting tasks to the same free capacity: ten gateways have 8 of 80 waiting tasks each, of which
// 32 fit, 16 of them beside new jobs.
TEST(RecallPolicy, ClaimsTheShareOfItsWaitingTasks) {
  this->AddAllocator("full", 0, 80);
  this->AddAllocator("free", 32, 0);
  int recall_count = 0;
  for (int gateway = 0; gateway < 10; ++gateway) {
    this->random_number = gateway / 10.0;
    RecallPolicy policy_of_gateway([this] { return this->random_number; });
    recall_count += static_cast<int>(
        policy_of_gateway.ChooseRecalls({this->MakeBatch("a")}, this->capacities, this->clock.Now())
            .size());
  }
  LONGS_EQUAL(2, recall_count);
}

// Guards against claiming the same free capacity at each look between two reports: the share is
// then exceeded as often as a gateway looks.
TEST(RecallPolicy, ClaimsTheCapacityOfAReportOnce) {
  this->AddAllocator("full", 0, 16);
  this->AddAllocator("free", 8, 0);
  this->random_number = 0.9;
  STRCMP_EQUAL("", this->RecalledJobs({this->MakeBatch("a")}).c_str());
  this->random_number = 0;
  STRCMP_EQUAL("", this->RecalledJobs({this->MakeBatch("a")}).c_str());
  this->clock.Advance(milliseconds(50));
  this->capacities[1].reported_at = this->clock.Now();
  STRCMP_EQUAL("a", this->RecalledJobs({this->MakeBatch("a")}).c_str());
}

// Guards against giving capacity that is meant for a batch on its way to another one.
TEST(RecallPolicy, LeavesCapacityToBatchesWhoseRecallIsPending) {
  this->AddAllocator("full", 0, 16);
  this->AddAllocator("free", 8, 0);
  std::vector<RecallCandidate> batches = {this->MakeBatch("a"), this->MakeBatch("b")};
  batches[0].recalled_at = this->clock.Now() - milliseconds(5);
  STRCMP_EQUAL("", this->RecalledJobs(batches).c_str());
}

// Guards against messages that gain nothing: for a batch that has waited for 20 ms and will start
// sooner than it could move, between data centres for a shorter gain than the longer way costs, and
// for one that has started.
TEST(RecallPolicy, RecallsNothingForASmallGain) {
  AllocatorCapacity& full = this->AddAllocator("full", 0, 16);
  full.capacity.mean_end_interval = std::chrono::microseconds(1800);
  STRCMP_EQUAL("", this->RecalledJobs({this->MakeBatch("a")}).c_str());
  this->AddAllocator("free", 16, 0);
  STRCMP_EQUAL("", this->RecalledJobs({this->MakeBatch("a")}).c_str());
  this->capacities[0].capacity.mean_end_interval = std::chrono::microseconds(2200);
  this->capacities[1].is_near = false;
  STRCMP_EQUAL("", this->RecalledJobs({this->MakeBatch("a")}).c_str());
  this->clock.Advance(milliseconds(50));
  this->capacities[1].reported_at = this->clock.Now();
  this->capacities[1].is_near = true;
  RecallCandidate started = this->MakeBatch("a");
  started.may_wait_until = this->clock.Now() - milliseconds(1);
  STRCMP_EQUAL("", this->RecalledJobs({started}).c_str());
  STRCMP_EQUAL("a", this->RecalledJobs({this->MakeBatch("a")}).c_str());
}

// Guards against sending recalls to an allocator of an earlier version, which can't decode them,
// and to one that has answered two of them with nothing.
TEST(RecallPolicy, RecallsOnlyWhatMayBeAnswered) {
  this->AddAllocator("full", 0, 16).accepts_recalls = false;
  this->AddAllocator("free", 16, 0);
  CHECK_FALSE(RecallPolicy::HasUnevenLoad(this->capacities));
  STRCMP_EQUAL("", this->RecalledJobs({this->MakeBatch("a")}).c_str());
  this->capacities[0].accepts_recalls = true;
  RecallCandidate batch = this->MakeBatch("a");
  batch.recall_count = 2;
  STRCMP_EQUAL("", this->RecalledJobs({batch}).c_str());
  batch.recall_count = 1;
  batch.recalled_at = this->clock.Now() - milliseconds(100);
  STRCMP_EQUAL("a", this->RecalledJobs({batch}).c_str());
}

// Pattern: one kind asks for several times its usual rate. Guards against leaving a batch where it
// waits because a report showed free capacity there that other gateways have taken, and against
// recalling the batches that have got it.
TEST(RecallPolicy, TrustsTheFirstReportAfterAPlacement) {
  this->AddAllocator("full", 0, 16);
  this->AddAllocator("free", 16, 0);
  RecallCandidate batch = this->MakeBatch("a");
  batch.had_free_capacity = true;
  this->capacities[0].reported_at = batch.placed_at + milliseconds(3);
  STRCMP_EQUAL("", this->RecalledJobs({batch}).c_str());
  this->capacities[0].reported_at = batch.placed_at + milliseconds(4);
  STRCMP_EQUAL("a", this->RecalledJobs({batch}).c_str());
  batch.placed_at = this->clock.Now() - milliseconds(300);
  batch.may_wait_until = this->clock.Now() + milliseconds(300);
  this->clock.Advance(milliseconds(50));
  this->capacities[0].reported_at = this->clock.Now();
  this->capacities[1].reported_at = this->clock.Now();
  STRCMP_EQUAL("", this->RecalledJobs({batch}).c_str());
}
