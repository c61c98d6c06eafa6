#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <vector>

#include "tests/cluster/random_losses.h"

using sapphirecrank::cluster::RandomLosses;

TEST_GROUP(GroupMembershipProperty){
    /// Checks that the group is complete each time no host counts as lost, in random sequences of
    /// losses.
    static bool SurvivesRandomLosses(size_t voter_count, size_t spare_host_count){
        return rc::check("the group is complete whenever a loss is allowed", [=](uint64_t seed) {
          const auto events = *rc::gen::container<std::vector<uint32_t>>(
              8, rc::gen::resize(rc::kNominalSize * 100, rc::gen::inRange<uint32_t>(0, 1U << 24)));
          RandomLosses losses(seed, {voter_count, spare_host_count});
          for (const uint32_t event : events) {
            losses.ApplyEvent(event);
          }
          const bool holds = losses.Finish();
          RC_LOG() << losses.failure();
          RC_ASSERT(holds);
        });
}
}
;

// Guards against a group that loses its majority, a committed command or its spread over the data
// centres, although no more disks are lost than the settings allow.
TEST(GroupMembershipProperty, AGroupWithoutSpareHostsSurvivesRandomLosses) {
  CHECK(SurvivesRandomLosses(3, 0));
}

// Guards against the same where votes move between hosts that are all running.
TEST(GroupMembershipProperty, AGroupWithSpareHostsSurvivesRandomLosses) {
  CHECK(SurvivesRandomLosses(3, 2));
}

// Guards against the same in a group that tolerates two losses.
TEST(GroupMembershipProperty, AGroupOfFiveVotersSurvivesRandomLosses) {
  CHECK(SurvivesRandomLosses(5, 1));
}
