#include "membership/view_state_machine.h"

#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

#include "base/manual_clock.h"

using namespace sapphirecrank;  // NOLINT(google-build-using-namespace)
using membership::ViewStateMachine;
using Member = ViewStateMachine::Member;
using std::chrono::milliseconds;

namespace {

Member MakeMember(const char* host, uint64_t incarnation) {
  return {base::HostId(host), base::Incarnation(incarnation)};
}

}  // namespace

TEST_GROUP(ViewStateMachine) {
  base::ManualClock clock;
  std::vector<Member> reachable_members = {MakeMember("a", 1)};
  bool is_leader = true;
  std::vector<std::string> proposals;
  std::vector<std::pair<base::Epoch, std::vector<Member>>> agreed_views;
  ViewStateMachine view_state_machine{
      {this->clock.AsClock(), [this] { return this->reachable_members; },
       [this] { return this->is_leader; },
       [this](const std::string& command) { this->proposals.push_back(command); },
       [this](base::Epoch epoch, const std::vector<Member>& members) {
         this->agreed_views.emplace_back(epoch, members);
       }}};

  void TickFor(int milliseconds_to_advance) {
    for (int i = 0; i < milliseconds_to_advance; i += 20) {
      this->clock.Advance(milliseconds(20));
      this->view_state_machine.Tick();
    }
  }
};

// Guards against several views for hosts that start together, and against treating a restarted host
// as its former process.
TEST(ViewStateMachine, ProposesReachableMembersOnceTheyAreStable) {
  this->TickFor(100);
  this->reachable_members = {MakeMember("b", 2), MakeMember("a", 1)};
  this->TickFor(180);
  LONGS_EQUAL(0, this->proposals.size());
  this->TickFor(100);
  LONGS_EQUAL(1, this->proposals.size());
  this->view_state_machine.Apply(this->proposals.back());
  LONGS_EQUAL(1, this->agreed_views.size());
  CHECK(this->agreed_views.back().second ==
        std::vector<Member>({MakeMember("a", 1), MakeMember("b", 2)}));
  this->reachable_members = {MakeMember("a", 1), MakeMember("b", 3)};
  this->TickFor(800);
  LONGS_EQUAL(2, this->proposals.size());
}

// Guards against a proposal that is applied twice, or after another one for the same epoch, and
// installs a second view.
TEST(ViewStateMachine, ProposalForAReplacedEpochChangesNothing) {
  this->TickFor(300);
  const std::string repeated_proposal = this->proposals.back();
  this->view_state_machine.Apply(repeated_proposal);
  this->view_state_machine.Apply(repeated_proposal);
  LONGS_EQUAL(1, this->agreed_views.size());
  LONGS_EQUAL(1, this->agreed_views.back().first.value());
}

// Guards against proposals of a host that isn't the leader.
TEST(ViewStateMachine, OnlyTheLeaderProposes) {
  this->is_leader = false;
  this->TickFor(1000);
  LONGS_EQUAL(0, this->proposals.size());
}

// Guards against a crash or a new view because of a damaged command, and against a snapshot that
// installs an old epoch again.
TEST(ViewStateMachine, RestoresSnapshotAndIgnoresDamagedCommands) {
  this->TickFor(300);
  this->view_state_machine.Apply(this->proposals.back());
  const std::string snapshot = this->view_state_machine.TakeSnapshot();
  this->view_state_machine.Apply(snapshot.substr(0, snapshot.size() - 1));
  this->view_state_machine.Apply("x");
  this->view_state_machine.Restore(snapshot);
  LONGS_EQUAL(1, this->agreed_views.size());
  this->view_state_machine.Restore("");
  LONGS_EQUAL(1, this->agreed_views.size());
}
