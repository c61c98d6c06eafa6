#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include "tests/consensus/random_events.h"

using sapphirecrank::consensus::RandomEvents;

TEST_GROUP(RaftProperties){};

// Guards against a schedule of faults, restarts, membership changes and commands in which two hosts
// lead in one term, a host votes twice in a term, logs differ at entries of equal term, a committed
// entry is lost, a host lacks committed entries although it holds the leader lease or reports that
// it is up to date, or the group doesn't recover.
TEST(RaftProperties, RandomEventsKeepTheLogSafe) {
  bool holds = rc::check("random events keep the log safe", [](uint64_t seed) {
    auto events = *rc::gen::container<std::vector<uint32_t>>(
        60, rc::gen::resize(rc::kNominalSize * 100, rc::gen::inRange<uint32_t>(0, 1U << 24)));
    RandomEvents sequence(seed);
    for (uint32_t event : events) {
      sequence.ApplyEvent(event);
    }
    bool safe = sequence.Finish();
    for (const std::string& violation : sequence.violations()) {
      RC_LOG() << violation << "\n";
    }
    RC_ASSERT(safe);
  });
  CHECK(holds);
}
