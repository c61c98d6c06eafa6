#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "scheduling/scheduler.h"

namespace sapphirecrank::bench {

/// The operations of a scheduler that a simulation uses, so that rules can be compared.
struct DispatcherUnderTest {
  std::function<base::Result<void>(const std::vector<scheduling::TaskSpec>&)> enqueue_all;
  std::function<void(const scheduling::TargetState&)> update_target;
  std::function<void(const base::TaskKey&, const base::TargetId&, const scheduling::TaskOutcome&)>
      on_task_ended;
  std::function<std::vector<base::TaskKey>(const base::SubmissionId&)> cancel;
  std::function<void()> expire_due;
};

/// Creates the dispatcher of one rule set on the given hooks.
using DispatcherFactory = std::function<DispatcherUnderTest(scheduling::Scheduler::Hooks)>;

/// A named set of rules.
struct RuleSet {
  std::string name;
  DispatcherFactory create;
};

/// Returns the baselines and the scheduler with its default settings.
std::vector<RuleSet> BaselineAndDefaultRuleSets();

/// Returns the scheduler with one rule changed in each set.
std::vector<RuleSet> AblationRuleSets();

}  // namespace sapphirecrank::bench
