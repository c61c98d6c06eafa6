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
  bool leads = true;
  std::vector<Result<ChangeOutcome>> answers;
  ChangeProposer proposer{ChangeProposer::Hooks{[this](const std::string&) -> Result<LogIndex> {
                                                  if (leads) {
                                                    return LogIndex(7);
                                                  }
                                                  return MakeErrorResult(ErrorCode::kUnavailable,
                                                                         "not the leader");
                                                },
                                                [] { return Term(2); }}};

  void Submit() {
    proposer.Propose(ConfigurationChange(),
                     [this](const Result<ChangeOutcome>& answer) { answers.push_back(answer); });
  }
};

// Guards against an answer before the change is committed, and against a second answer.
TEST(ChangeProposer, AnswersOnceWhenTheEntryIsApplied) {
  Submit();
  LONGS_EQUAL(0, answers.size());
  proposer.OnApplied(LogIndex(7), Term(2), ChangeOutcome());
  proposer.OnLeadershipLost();
  LONGS_EQUAL(1, answers.size());
  CHECK(answers[0].has_value());
}

// Guards against another leader's change being reported as the outcome of this one.
TEST(ChangeProposer, ReplacedEntryWasNotAccepted) {
  Submit();
  proposer.OnApplied(LogIndex(7), Term(3), ChangeOutcome());
  LONGS_EQUAL(1, answers.size());
  CHECK_FALSE(answers[0].has_value());
  CHECK(answers[0].error().verdict == ExecutionVerdict::kNotRun);
}

// Guards against "not run" for a change that a later leader may still commit.
TEST(ChangeProposer, LostLeadershipLeavesTheOutcomeOpen) {
  Submit();
  proposer.OnLeadershipLost();
  CHECK(answers.at(0).error().verdict == ExecutionVerdict::kMayHaveRun);
  leads = false;
  Submit();
  CHECK(answers.at(1).error().verdict == ExecutionVerdict::kNotRun);
}
