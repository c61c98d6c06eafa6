#include "clusterhost/group_monitor.h"

#include <CppUTest/TestHarness.h>

#include <set>
#include <string>
#include <vector>

#include "base/manual_clock.h"
#include "cluster/planned_change.h"
#include "consensus/raft_status.h"
#include "observability/allocator_metrics.h"
#include "observability/logger.h"

using namespace sapphirecrank;  // NOLINT(google-build-using-namespace)
using base::HostId;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(GroupMonitor) {
  base::ManualClock clock;
  std::vector<std::string> lines;
  std::set<HostId> unreachable_hosts;
  observability::Logger logger{
      observability::LogLevel::kInfo,
      {clock.AsClock(), [this](const std::string& line) { this->lines.push_back(line); }}};
  observability::AllocatorMetrics metrics;
  clusterhost::GroupMonitor monitor{
      {clock.AsClock(),
       [this](const HostId& host) { return this->unreachable_hosts.count(host) == 0; }},
      logger,
      metrics};
  consensus::RaftStatus status;

  void setup() override {
    this->status.membership.voters = {HostId("a/1"), HostId("b/1"), HostId("c/1")};
    this->status.leader = HostId("a/1");
    this->status.term = base::Term(3);
  }

  void RunFor(base::Duration duration) {
    const base::TimePoint end = this->clock.Now() + duration;
    while (this->clock.Now() < end) {
      this->clock.Advance(milliseconds(100));
      this->monitor.OnStatus(HostId("a/1"), this->status);
    }
  }

  size_t CountLines(const std::string& text) const {
    size_t count = 0;
    for (const std::string& line : this->lines) {
      count += line.find(text) != std::string::npos ? 1 : 0;
    }
    return count;
  }
};

// Guards against a log that doesn't show who the voters were, and from which entry of the log on.
TEST(GroupMonitor, LogsEachMembershipOnceAndItsCommit) {
  this->status.membership_index = this->status.commit_index = base::LogIndex(4);
  this->RunFor(seconds(1));
  this->status.membership.voters.erase(HostId("c/1"));
  this->status.membership_index = base::LogIndex(9);
  this->RunFor(seconds(1));
  CHECK_EQUAL(1, this->CountLines("group membership committed"));
  CHECK_EQUAL(1, this->CountLines("group membership not committed yet"));
  CHECK_EQUAL(1, this->CountLines("index=9 voters=a/1,b/1"));
  this->status.commit_index = base::LogIndex(9);
  this->RunFor(seconds(1));
  CHECK_EQUAL(2, this->CountLines("group membership committed"));
}

// Guards against a lost majority that can't be told apart from a host that is behind: the line
// names the voters that are unreachable.
TEST(GroupMonitor, ReportsALongTimeWithoutALeaderAndItsEnd) {
  this->RunFor(seconds(1));
  this->status.leader = HostId();
  this->unreachable_hosts = {HostId("b"), HostId("c")};
  this->RunFor(milliseconds(1500));
  CHECK_EQUAL(0, this->CountLines("the group has no leader"));
  this->RunFor(seconds(12));
  CHECK_EQUAL(3, this->CountLines("the group has no leader"));
  CHECK_EQUAL(3, this->CountLines("unreachable_voters=b/1,c/1"));
  this->status.leader = HostId("a/1");
  this->RunFor(seconds(1));
  CHECK_EQUAL(1, this->CountLines("the group has a leader again"));
}

// Guards against failed reads and changes of the configuration without a reason in the log, and
// against a log that grows with each of them.
TEST(GroupMonitor, LogsAndCountsFailedReadsAndChanges) {
  for (int i = 0; i < 100; ++i) {
    this->monitor.OnRead(
        base::MakeErrorResult(base::ErrorCode::kUnavailable, "the group has no leader"));
  }
  this->monitor.OnChange(base::Version(7), clusterhost::ProposalOutcome::kUnknown, HostId());
  CHECK_EQUAL(1, this->CountLines("configuration not read"));
  CHECK_EQUAL(1, this->CountLines("configuration change not confirmed"));
  this->monitor.OnChange(base::Version(8), clusterhost::ProposalOutcome::kCommitted, HostId("a"));
  CHECK_EQUAL(1, this->CountLines("configuration change answered\" version=8 outcome=committed"));
  const std::string text = this->metrics.PrometheusText();
  CHECK(
      text.find(
          R"(sapphirecrank_configuration_requests_total{operation="read",outcome="failed"} 100)") !=
      std::string::npos);
}

// Guards against metrics that don't show how many votes a group can still lose.
TEST(GroupMonitor, ShowsVotersThatAreReachable) {
  this->unreachable_hosts = {HostId("c")};
  this->RunFor(seconds(2));
  this->monitor.OnMembershipChange(
      {{consensus::MembershipChange::Kind::kRemoveMember, HostId("c/1")}, "unreachable"});
  const std::string text = this->metrics.PrometheusText();
  CHECK(text.find(R"(sapphirecrank_group_members{kind="voter"} 3)") != std::string::npos);
  CHECK(text.find(R"(sapphirecrank_group_members{kind="reachable_voter"} 2)") != std::string::npos);
  CHECK(text.find(R"(sapphirecrank_membership_changes_total{change="remove_member"} 1)") !=
        std::string::npos);
}
