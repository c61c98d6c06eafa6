#include "configuration/change_proposer.h"

#include <CppUTest/TestHarness.h>

#include <vector>

using sapphirecrank::base::ErrorCode;
using sapphirecrank::base::ExecutionVerdict;
using sapphirecrank::base::LogIndex;
using sapphirecrank::base::MakeErrorResult;
using sapphirecrank::base::Result;
using sapphirecrank::base::Term;
using sapphirecrank::configuration::ChangeOutcome;
using sapphirecrank::configuration::ChangeProposer;
using sapphirecrank::configuration::ConfigurationChange;

TEST_GROUP(ChangeProposer) {
  bool is_leader = true;
  std::vector<Result<ChangeOutcome>> outcomes;
  ChangeProposer proposer{ChangeProposer::Hooks{[this](const std::string&) -> Result<LogIndex> {
                                                  if (is_leader) {
                                                    return LogIndex(7);
                                                  }
                                                  return MakeErrorResult(ErrorCode::kUnavailable,
                                                                         "not the leader");
                                                },
                                                [] { return Term(2); }}};

  void Propose() {
    proposer.Propose(ConfigurationChange(),
                     [this](const Result<ChangeOutcome>& outcome) { outcomes.push_back(outcome); });
  }
};

// Guards against an outcome that is reported before the change is committed, or twice.
TEST(ChangeProposer, ReportsOutcomeOnceWhenTheEntryIsApplied) {
  Propose();
  LONGS_EQUAL(0, outcomes.size());
  proposer.OnApplied(LogIndex(7), Term(2), ChangeOutcome());
  proposer.OnLeadershipLost();
  LONGS_EQUAL(1, outcomes.size());
  CHECK(outcomes[0].has_value());
}

// Guards against the outcome of another leader's change that is reported for this change.
TEST(ChangeProposer, ReplacedEntryIsReportedAsNotRun) {
  Propose();
  proposer.OnApplied(LogIndex(7), Term(3), ChangeOutcome());
  LONGS_EQUAL(1, outcomes.size());
  CHECK_FALSE(outcomes[0].has_value());
  CHECK(outcomes[0].error().verdict == ExecutionVerdict::kNotRun);
}

// Guards against the verdict "not run" for a change that a later leader may still commit.
TEST(ChangeProposer, LostLeadershipLeavesTheOutcomeUnknown) {
  Propose();
  proposer.OnLeadershipLost();
  CHECK(outcomes.at(0).error().verdict == ExecutionVerdict::kMayHaveRun);
  is_leader = false;
  Propose();
  CHECK(outcomes.at(1).error().verdict == ExecutionVerdict::kNotRun);
}
