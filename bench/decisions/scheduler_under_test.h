#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "scheduling/scheduler.h"

namespace sapphirecrank::bench {

/// The operations of a scheduler that a simulation uses, so that schedulers can be compared. Each
/// has the contract of the `scheduling::Scheduler` method of the same name.
struct SchedulerUnderTest {
  std::function<base::Result<void>(const std::vector<scheduling::TaskSpec>&)> enqueue_all;
  std::function<void(const scheduling::TargetState&)> update_target;
  std::function<void(const base::TaskKey&, const base::TargetId&, const scheduling::TaskOutcome&)>
      on_task_ended;
  std::function<std::vector<base::TaskKey>(const base::SubmissionId&)> cancel_submission;
  std::function<void()> tick;
};

/// Creates a scheduler that calls the given hooks.
using SchedulerFactory = std::function<SchedulerUnderTest(scheduling::Scheduler::Hooks)>;

/// A named variant of the scheduler.
struct RuleSet {
  std::string name;
  SchedulerFactory create;
};

/// Returns the FIFO baselines and the scheduler with its default settings.
std::vector<RuleSet> BaselineAndDefaultRuleSets();

/// Returns variants of the scheduler that each change one rule of the default settings.
std::vector<RuleSet> AblationRuleSets();

}  // namespace sapphirecrank::bench
