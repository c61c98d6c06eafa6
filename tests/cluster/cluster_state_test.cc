#include "cluster/cluster_state.h"

#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

#include "base/manual_clock.h"

using namespace sapphirecrank;  // NOLINT(google-build-using-namespace)
using cluster::ClusterState;
using cluster::ClusterView;

TEST_GROUP(ClusterState) {
  base::ManualClock clock;
  std::vector<ClusterView::Member> live = {
      {base::HostId("a"), base::Incarnation(1), base::DataCentreId("x")}};
  std::vector<std::string> proposals;
  int changes = 0;
  std::string jobs;

  ClusterState Make() {
    return ClusterState(
        {this->clock.AsClock(), [this] { return this->live; }, [] { return true; },
         [this](const std::string& command) { this->proposals.push_back(command); },
         [this] { ++this->changes; }, [this](const std::string& command) { this->jobs += command; },
         [this] { return this->jobs; }, [this](const std::string& state) { this->jobs = state; }});
  }

  static std::string Put(uint64_t version, const char* document) {
    return ClusterState::EncodeConfigurationCommand({base::Version(version), document});
  }
};

// Guards against a configuration that reverts, and against other content under the version held.
TEST(ClusterState, HighestVersionWinsAndTheRestChangesNothing) {
  ClusterState state = this->Make();
  state.Apply(Put(7, "seven"));
  state.Apply(Put(3, "three"));
  state.Apply(Put(7, "other"));
  CHECK(state.configuration().version == base::Version(7));
  STRCMP_EQUAL("seven", state.configuration().document.c_str());
  LONGS_EQUAL(1, this->changes);
}

// Guards against a snapshot that loses the configuration or the view, and so the tokens.
TEST(ClusterState, SnapshotKeepsConfigurationAndView) {
  ClusterState state = this->Make();
  state.Apply(Put(7, "seven"));
  for (int i = 0; i < 20; ++i) {
    this->clock.Advance(std::chrono::milliseconds(50));
    state.Tick();
  }
  CHECK_TRUE(!this->proposals.empty());
  state.Apply(this->proposals.front());
  ClusterState copy = this->Make();
  copy.Restore(state.TakeSnapshot());
  CHECK(copy.configuration().version == base::Version(7));
  CHECK(copy.view().epoch == base::Epoch(1));
  LONGS_EQUAL(1, copy.view().members.size());
  CHECK(copy.view().members[0].data_centre == base::DataCentreId("x"));
}

// Guards against a crash on a damaged command.
TEST(ClusterState, IgnoresCommandsThatCannotBeDecoded) {
  ClusterState state = this->Make();
  state.Apply("");
  state.Apply("c");
  state.Apply("v123");
  LONGS_EQUAL(0, this->changes);
}

TEST_GROUP(ClusterView){};

// Guards against targets that are owned across data centres although a near owner is there, and
// against two hosts that name different owners.
TEST(ClusterView, OwnerIsNearAndSameInAnyOrderOfMembers) {
  const ClusterView::Member a{base::HostId("a"), base::Incarnation(1), base::DataCentreId("x")};
  const ClusterView::Member b{base::HostId("b"), base::Incarnation(1), base::DataCentreId("y")};
  const ClusterView::Member c{base::HostId("c"), base::Incarnation(1), base::DataCentreId("y")};
  const ClusterView one{base::Epoch(1), {a, b, c}};
  const ClusterView other{base::Epoch(1), {c, b, a}};
  for (int i = 0; i < 50; ++i) {
    const base::TargetId target("t" + std::to_string(i));
    CHECK(one.FindOwner(target, base::DataCentreId("x"))->host == base::HostId("a"));
    CHECK(one.FindOwner(target, base::DataCentreId("y"))->host ==
          other.FindOwner(target, base::DataCentreId("y"))->host);
    CHECK(one.FindOwner(target, base::DataCentreId("z"))->host ==
          other.FindOwner(target, base::DataCentreId("z"))->host);
  }
  CHECK(ClusterView().FindOwner(base::TargetId("t"), base::DataCentreId("x")) == nullptr);
}

// Guards against commands of stored jobs that are taken for a configuration, and against a snapshot
// that loses accepted jobs.
TEST(ClusterState, HandsOnChangesAndSnapshotsOfStoredJobs) {
  ClusterState state = this->Make();
  state.Apply(ClusterState::EncodeJobsCommand("one"));
  STRCMP_EQUAL("one", this->jobs.c_str());
  CHECK(state.configuration().version == base::Version());
  const std::string snapshot = state.TakeSnapshot();
  this->jobs.clear();
  state.Restore(snapshot);
  STRCMP_EQUAL("one", this->jobs.c_str());
}
