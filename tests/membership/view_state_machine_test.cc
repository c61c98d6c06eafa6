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

Member Process(const char* host, uint64_t incarnation) {
  return {base::HostId(host), base::Incarnation(incarnation)};
}

}  // namespace

TEST_GROUP(ViewStateMachine) {
  base::ManualClock clock;
  std::vector<Member> live = {Process("a", 1)};
  bool is_leader = true;
  std::vector<std::string> proposals;
  std::vector<std::pair<base::Epoch, std::vector<Member>>> views;
  ViewStateMachine agreement{
      {this->clock.AsClock(), [this] { return this->live; }, [this] { return this->is_leader; },
       [this](const std::string& command) { this->proposals.push_back(command); },
       [this](base::Epoch epoch, const std::vector<Member>& members) {
         this->views.emplace_back(epoch, members);
       }}};

  void TickFor(int count) {
    for (int i = 0; i < count; i += 20) {
      this->clock.Advance(milliseconds(20));
      this->agreement.Tick();
    }
  }
};

// Guards against a view for each of several hosts that start together, and against a restarted host
// that is taken for the process before it.
TEST(ViewStateMachine, ProposesWhatIsReachedOnceItIsSettled) {
  this->TickFor(100);
  this->live = {Process("b", 2), Process("a", 1)};
  this->TickFor(180);
  LONGS_EQUAL(0, this->proposals.size());
  this->TickFor(100);
  LONGS_EQUAL(1, this->proposals.size());
  this->agreement.Apply(this->proposals.back());
  LONGS_EQUAL(1, this->views.size());
  CHECK(this->views.back().second == std::vector<Member>({Process("a", 1), Process("b", 2)}));
  this->live = {Process("a", 1), Process("b", 3)};
  this->TickFor(800);
  LONGS_EQUAL(2, this->proposals.size());
}

// Guards against two views of one epoch: a proposal made before another one was accepted.
TEST(ViewStateMachine, ProposalForAReplacedEpochChangesNothing) {
  this->TickFor(300);
  const std::string stale = this->proposals.back();
  this->agreement.Apply(stale);
  this->agreement.Apply(stale);
  LONGS_EQUAL(1, this->views.size());
  LONGS_EQUAL(1, this->views.back().first.value());
}

// Guards against a host that doesn't lead the group and proposes what it alone sees.
TEST(ViewStateMachine, OnlyTheLeaderProposes) {
  this->is_leader = false;
  this->TickFor(1000);
  LONGS_EQUAL(0, this->proposals.size());
}

// Guards against a crash on a damaged command, and against an epoch that goes back by a snapshot.
TEST(ViewStateMachine, SnapshotRestoresAndDamageIsIgnored) {
  this->TickFor(300);
  this->agreement.Apply(this->proposals.back());
  const std::string state = this->agreement.TakeSnapshot();
  this->agreement.Apply(state.substr(0, state.size() - 1));
  this->agreement.Apply("x");
  this->agreement.Restore(state);
  LONGS_EQUAL(1, this->views.size());
  this->agreement.Restore("");
  LONGS_EQUAL(1, this->views.size());
}
