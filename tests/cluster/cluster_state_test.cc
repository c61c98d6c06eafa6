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
  std::vector<ClusterView::Member> reachable_members = {
      {base::HostId("a"), base::Incarnation(1), base::DataCentreId("x")}};
  std::vector<std::string> proposals;
  int change_count = 0;
  std::string stored_jobs;

  ClusterState MakeState() {
    return ClusterState({this->clock.AsClock(), [this] { return this->reachable_members; },
                         [] { return true; },
                         [this](const std::string& command) { this->proposals.push_back(command); },
                         [this] { ++this->change_count; },
                         [this](const std::string& command) { this->stored_jobs += command; },
                         [this] { return this->stored_jobs; },
                         [this](const std::string& state) { this->stored_jobs = state; }});
  }

  static std::string ConfigurationCommand(uint64_t version, const char* document) {
    return ClusterState::EncodeConfigurationCommand({base::Version(version), document});
  }
};

// Guards against a configuration that is replaced by an older one, or by another document of the
// same version.
TEST(ClusterState, OnlyAHigherVersionReplacesTheConfiguration) {
  ClusterState state = this->MakeState();
  state.Apply(ConfigurationCommand(7, "seven"));
  state.Apply(ConfigurationCommand(3, "three"));
  state.Apply(ConfigurationCommand(7, "other"));
  CHECK(state.configuration().version == base::Version(7));
  STRCMP_EQUAL("seven", state.configuration().document.c_str());
  LONGS_EQUAL(1, this->change_count);
}

// Guards against a snapshot that loses the configuration or the view, and so the epoch that is the
// fencing token.
TEST(ClusterState, SnapshotKeepsConfigurationAndView) {
  ClusterState state = this->MakeState();
  state.Apply(ConfigurationCommand(7, "seven"));
  for (int i = 0; i < 20; ++i) {
    this->clock.Advance(std::chrono::milliseconds(50));
    state.Tick();
  }
  CHECK_TRUE(!this->proposals.empty());
  state.Apply(this->proposals.front());
  ClusterState copy = this->MakeState();
  copy.Restore(state.TakeSnapshot());
  CHECK(copy.configuration().version == base::Version(7));
  CHECK(copy.view().epoch == base::Epoch(1));
  LONGS_EQUAL(1, copy.view().members.size());
  CHECK(copy.view().members[0].data_centre == base::DataCentreId("x"));
}

// Guards against a crash or a change of state because of a damaged command.
TEST(ClusterState, IgnoresCommandsThatCannotBeDecoded) {
  ClusterState state = this->MakeState();
  state.Apply("");
  state.Apply("c");
  state.Apply("v123");
  LONGS_EQUAL(0, this->change_count);
}

TEST_GROUP(ClusterView){};

// Guards against an owner in another data centre although the target's data centre has a member,
// and against hosts that select different owners for one target.
TEST(ClusterView, OwnerIsLocalAndIndependentOfTheOrderOfMembers) {
  const ClusterView::Member a{base::HostId("a"), base::Incarnation(1), base::DataCentreId("x")};
  const ClusterView::Member b{base::HostId("b"), base::Incarnation(1), base::DataCentreId("y")};
  const ClusterView::Member c{base::HostId("c"), base::Incarnation(1), base::DataCentreId("y")};
  const ClusterView view{base::Epoch(1), {a, b, c}};
  const ClusterView reversed{base::Epoch(1), {c, b, a}};
  for (int i = 0; i < 50; ++i) {
    const base::TargetId target("t" + std::to_string(i));
    CHECK(view.FindOwner(target, base::DataCentreId("x"))->host == base::HostId("a"));
    CHECK(view.FindOwner(target, base::DataCentreId("y"))->host ==
          reversed.FindOwner(target, base::DataCentreId("y"))->host);
    CHECK(view.FindOwner(target, base::DataCentreId("z"))->host ==
          reversed.FindOwner(target, base::DataCentreId("z"))->host);
  }
  CHECK(ClusterView().FindOwner(base::TargetId("t"), base::DataCentreId("x")) == nullptr);
}

// Guards against commands for stored jobs that change the configuration, and against a snapshot
// that loses stored jobs.
TEST(ClusterState, PassesOnCommandsAndSnapshotsOfStoredJobs) {
  ClusterState state = this->MakeState();
  state.Apply(ClusterState::EncodeJobsCommand("one"));
  STRCMP_EQUAL("one", this->stored_jobs.c_str());
  CHECK(state.configuration().version == base::Version());
  const std::string snapshot = state.TakeSnapshot();
  this->stored_jobs.clear();
  state.Restore(snapshot);
  STRCMP_EQUAL("one", this->stored_jobs.c_str());
}
