#include "entryhost/configured_membership.h"

#include <CppUTest/TestHarness.h>

#include <string>

using namespace sapphirecrank;  // NOLINT(google-build-using-namespace)
using base::HostId;
using consensus::MembershipChange;
using consensus::RaftMembership;
using entryhost::ConfiguredMembership;

namespace {

RaftMembership MakeMembership(const std::string& voters, const std::string& learners) {
  RaftMembership membership;
  for (const char host : voters) {
    membership.voters.insert(HostId(std::string(1, host)));
  }
  for (const char host : learners) {
    membership.learners.insert(HostId(std::string(1, host)));
  }
  return membership;
}

/// Returns the next change as text, such as "promote d", or "none".
std::string NextChange(const RaftMembership& configured, const RaftMembership& current,
                       bool can_promote) {
  const auto change =
      ConfiguredMembership(configured).NextChange(current, [can_promote](const HostId&) {
        return can_promote;
      });
  if (!change) {
    return "none";
  }
  switch (change->kind) {
    case MembershipChange::Kind::kAddLearner:
      return "add " + change->host.value();
    case MembershipChange::Kind::kPromoteLearner:
      return "promote " + change->host.value();
    case MembershipChange::Kind::kRemoveMember:
      return "remove " + change->host.value();
    case MembershipChange::Kind::kReplaceVoter:
      return "replace " + change->replaced_voter.value();
  }
  return "unknown";
}

}  // namespace

TEST_GROUP(ConfiguredMembership){};

// Guards against a change that the settings don't ask for.
TEST(ConfiguredMembership, ChangesNothingIfTheGroupIsAsConfigured) {
  const RaftMembership configured = MakeMembership("abc", "d");
  CHECK_EQUAL(std::string("none"), NextChange(configured, configured, true));
}

// Guards against a group that loses a vote before the successor has one.
TEST(ConfiguredMembership, PromotesTheSuccessorBeforeItRemovesAHost) {
  const RaftMembership configured = MakeMembership("abd", "");
  CHECK_EQUAL(std::string("add d"), NextChange(configured, MakeMembership("abc", ""), true));
  CHECK_EQUAL(std::string("promote d"), NextChange(configured, MakeMembership("abc", "d"), true));
  CHECK_EQUAL(std::string("remove c"), NextChange(configured, MakeMembership("abcd", ""), true));
}

// Guards against a leader with older settings that takes the vote of a successor away while it
// waits for a host that is gone.
TEST(ConfiguredMembership, RemovesNobodyWhileAConfiguredHostHasNoVote) {
  CHECK_EQUAL(std::string("none"),
              NextChange(MakeMembership("abc", ""), MakeMembership("abd", "c"), false));
}

// Guards against a host whose settings have no data folder any more and that keeps its vote.
TEST(ConfiguredMembership, AHostWithoutADiskBecomesALearner) {
  const RaftMembership configured = MakeMembership("ab", "c");
  CHECK_EQUAL(std::string("remove c"), NextChange(configured, MakeMembership("abc", ""), true));
  CHECK_EQUAL(std::string("add c"), NextChange(configured, MakeMembership("ab", ""), true));
}
