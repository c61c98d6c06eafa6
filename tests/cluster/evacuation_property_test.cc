#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <vector>

#include "tests/cluster/random_losses.h"

using sapphirecrank::cluster::RandomLosses;

TEST_GROUP(EvacuationProperty){};

// Guards against replicas that have different evacuations after the same orders, and against an
// acknowledged order that is lost, or undone by an earlier one, when hosts restart, freeze, are cut
// off, lose their disks or are replaced, within what the settings allow.
TEST(EvacuationProperty, AcknowledgedOrdersHoldOnAllReplicas) {
  CHECK(rc::check("acknowledged orders hold", [](uint64_t seed) {
    const auto events = *rc::gen::container<std::vector<uint32_t>>(
        12, rc::gen::resize(rc::kNominalSize * 100, rc::gen::inRange<uint32_t>(0, 1U << 24)));
    RandomLosses losses(seed, {3, 1});
    for (const uint32_t event : events) {
      // Most events are orders, because a loss of a disk waits until the group is complete.
      if (event % 3 == 0) {
        losses.ApplyEvent(event / 3);
      } else {
        losses.OrderEvacuation(event / 3);
      }
    }
    const bool holds = losses.Finish();
    RC_LOG() << losses.failure();
    RC_ASSERT(holds);
  }));
}
