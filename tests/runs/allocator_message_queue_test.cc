#include "runs/allocator_message_queue.h"

#include <CppUTest/TestHarness.h>

using namespace sapphirecrank;  // NOLINT(google-build-using-namespace)
using runs::AllocatorMessageQueue;

TEST_GROUP(AllocatorMessageQueue) {
  AllocatorMessageQueue queue;

  static runs::SchedulerActions ReturnActions() {
    runs::SchedulerActions actions;
    actions.returned_tasks.emplace_back();
    return actions;
  }

  static runs::SchedulerActions ResultActions() {
    runs::SchedulerActions actions;
    actions.batch_results.emplace_back();
    return actions;
  }
};

// Guards against a batch that ends before its gateway gets the tasks that were returned: the
// gateway would take them for done, and they would never run.
TEST(AllocatorMessageQueue, OneCallerAtATimeDeliversInTheOrderOfTheDecisions) {
  CHECK_TRUE(this->queue.Add(ReturnActions()));
  const auto first = this->queue.BeginDelivery();
  LONGS_EQUAL(1, first.size());
  CHECK_TRUE(std::holds_alternative<runs::ReturnedTasks>(first[0]));
  // Another thread adds the result while the first message is being delivered.
  CHECK_TRUE(this->queue.Add(ResultActions()));
  LONGS_EQUAL(0, this->queue.BeginDelivery().size());
  const auto second = this->queue.ContinueDelivery();
  LONGS_EQUAL(1, second.size());
  CHECK_TRUE(std::holds_alternative<runs::BatchResult>(second[0]));
  LONGS_EQUAL(0, this->queue.ContinueDelivery().size());
  CHECK_TRUE(this->queue.Add(ResultActions()));
  LONGS_EQUAL(1, this->queue.BeginDelivery().size());
}

// Guards against a delivery that each update takes over, although it has nothing to deliver.
TEST(AllocatorMessageQueue, TellsWhetherThereAreMessages) {
  runs::SchedulerActions actions;
  actions.start_requests.emplace_back();
  CHECK_FALSE(this->queue.Add(actions));
}

// Guards against the result of a batch that overtakes the events of its tasks: the stored job
// manager would wait for the end of their leases.
TEST(AllocatorMessageQueue, DeliversRunEventsBeforeResults) {
  runs::SchedulerActions actions = ResultActions();
  actions.run_events.emplace_back();
  CHECK_TRUE(this->queue.Add(actions));
  const auto messages = this->queue.BeginDelivery();
  LONGS_EQUAL(2, messages.size());
  CHECK_TRUE(std::holds_alternative<std::vector<runs::RunEvent>>(messages[0]));
}
