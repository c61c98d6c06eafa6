#include "cluster/group_membership.h"

#include <CppUTest/TestHarness.h>

#include "tests/cluster/group_simulation.h"

using namespace sapphirecrank;  // NOLINT(google-build-using-namespace)
using cluster::GroupSimulation;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// A host counts as lost until its successor has run for this long.
constexpr auto kCatchUpTime = seconds(4);
constexpr auto kElectionTime = seconds(5);

}  // namespace

TEST_GROUP(GroupMembership) {
  GroupSimulation group{1, 3, 3, 3};

  void setup() override { CHECK_TRUE(this->group.Commit(kElectionTime)); }

  /// Ends `host` for good, starts its successor 1 s later, and returns once the loss no longer
  /// counts.
  void Replace(size_t host) {
    const base::DataCentreId data_centre = this->group.data_centre(host);
    this->group.RemoveForGood(host);
    this->group.Run(seconds(1));
    this->group.AddHost(data_centre);
    this->group.Run(kCatchUpTime);
  }

  void CheckComplete(bool check_data_centres = true) {
    CHECK_TRUE(this->group.Commit(kElectionTime));
    CHECK_TRUE_TEXT(this->group.IsComplete(check_data_centres), this->group.Describe().c_str());
    CHECK_TRUE(this->group.KeepsCommittedCommands());
  }
};

// Guards against a group that loses its majority for good because hosts are replaced one after the
// other, as fast as the settings allow.
TEST(GroupMembership, KeepsAMajorityWhileAllHostsAreReplaced) {
  for (size_t host = 0; host < 6; ++host) {
    this->Replace(host);
    this->CheckComplete();
  }
}

// Guards against a loss of the majority when a host loses its disk as soon as the replacement of
// another one no longer counts as a loss.
TEST(GroupMembership, KeepsAMajorityWhenADiskIsLostAfterAReplacement) {
  this->Replace(0);
  this->group.LoseDisk(1);
  this->group.Run(milliseconds(500));
  this->group.Restart(1);
  this->group.Run(kCatchUpTime);
  this->CheckComplete();
}

// Guards against a host that is removed while it is unreachable and doesn't join again when it
// returns.
TEST(GroupMembership, ARemovedHostJoinsAgainWhenItReturns) {
  this->group.SetCutOff(0, true);
  this->group.AddHost(this->group.data_centre(0));
  this->group.Run(kCatchUpTime);
  this->CheckComplete();
  this->group.SetCutOff(0, false);
  this->group.Run(kCatchUpTime);
  this->group.RemoveForGood(1);
  this->group.Run(kCatchUpTime);
  this->CheckComplete(false);
}

// Guards against a host that is stopped for good after its successor has joined, and still counts
// as a voter when the next one is lost.
TEST(GroupMembership, AStoppingHostHandsItsVoteOver) {
  const size_t leader = this->group.Leader();
  const size_t stopping = (leader + 1) % 3;
  this->group.AddHost(this->group.data_centre(stopping));
  this->group.Run(kCatchUpTime);
  this->group.AnnounceStop(stopping);
  this->group.Run(milliseconds(500));
  CHECK_FALSE(this->group.IsVoteHandoverPending(stopping));
  this->group.RemoveForGood(stopping);
  this->group.RemoveForGood(3 - leader - stopping);
  this->group.Run(kElectionTime);
  CHECK_TRUE(this->group.Commit(kElectionTime));
}

// Guards against a restart that costs a group without spare hosts a vote.
TEST(GroupMembership, ARestartInPlaceKeepsTheVote) {
  const size_t stopping = (this->group.Leader() + 1) % 3;
  this->group.AnnounceStop(stopping);
  this->group.Run(milliseconds(100));
  CHECK_FALSE(this->group.IsVoteHandoverPending(stopping));
  this->group.Kill(stopping);
  this->group.Run(seconds(2));
  this->group.Restart(stopping);
  this->group.Run(seconds(1));
  this->CheckComplete();
}

// Guards against a loss of two voters in the data centre whose host took over the vote of another
// one's.
TEST(GroupMembership, VotesReturnToADataCentreThatIsBack) {
  this->group.AddHost(base::DataCentreId("dc1"));
  this->group.Run(kCatchUpTime);
  this->group.SetCutOff(0, true);
  this->group.Run(kCatchUpTime);
  CHECK_TRUE(this->group.IsComplete(false));
  CHECK_FALSE(this->group.IsComplete(true));
  this->group.SetCutOff(0, false);
  this->group.Run(kCatchUpTime);
  this->CheckComplete();
}
