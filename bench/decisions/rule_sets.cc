#include "bench/decisions/fifo_scheduler.h"
#include "bench/decisions/scheduler_under_test.h"

namespace sapphirecrank::bench {

using scheduling::PlacementPolicy;
using scheduling::Scheduler;
using scheduling::SchedulerSettings;

namespace {

template <typename Implementation>
SchedulerUnderTest WrapScheduler(const std::shared_ptr<Implementation>& scheduler) {
  SchedulerUnderTest wrapped;
  wrapped.enqueue_all = [scheduler](const std::vector<scheduling::TaskSpec>& tasks) {
    return scheduler->EnqueueAll(tasks);
  };
  wrapped.update_target = [scheduler](const scheduling::TargetState& target) {
    scheduler->UpdateTarget(target);
  };
  wrapped.on_task_ended = [scheduler](const base::TaskKey& task, const base::TargetId& target,
                                      const scheduling::TaskOutcome& outcome) {
    scheduler->OnTaskEnded(task, target, outcome);
  };
  wrapped.cancel_submission = [scheduler](const base::SubmissionId& id) {
    return scheduler->CancelSubmission(id);
  };
  wrapped.tick = [scheduler] { scheduler->Tick(); };
  return wrapped;
}

RuleSet MakeFifoRuleSet(const std::string& name, bool chooses_random_target) {
  return {name, [chooses_random_target](Scheduler::Hooks hooks) {
            return WrapScheduler(
                std::make_shared<FifoScheduler>(std::move(hooks), chooses_random_target));
          }};
}

RuleSet MakeRuleSet(const std::string& name, const SchedulerSettings& settings) {
  return {name, [settings](Scheduler::Hooks hooks) {
            return WrapScheduler(std::make_shared<Scheduler>(std::move(hooks), settings));
          }};
}

RuleSet MakeAblation(const std::string& name,
                     const std::function<void(SchedulerSettings&)>& change) {
  SchedulerSettings settings;
  change(settings);
  return MakeRuleSet(name, settings);
}

}  // namespace

std::vector<RuleSet> BaselineAndDefaultRuleSets() {
  return {MakeFifoRuleSet("fifo-random", true), MakeFifoRuleSet("fifo-least-loaded", false),
          MakeRuleSet("rules", SchedulerSettings())};
}

std::vector<RuleSet> AblationRuleSets() {
  return {
      MakeAblation("no-fair-teams",
                   [](SchedulerSettings& settings) { settings.is_team_fairness_enabled = false; }),
      MakeAblation(
          "no-size-levels",
          [](SchedulerSettings& settings) { settings.are_run_time_levels_enabled = false; }),
      MakeAblation("no-long-queue",
                   [](SchedulerSettings& settings) { settings.is_long_work_separated = false; }),
      MakeAblation("no-reserve",
                   [](SchedulerSettings& settings) {
                     settings.headroom_share = {0, 0, 0};
                     settings.long_work_headroom_share = 0;
                   }),
      MakeAblation(
          "no-admission",
          [](SchedulerSettings& settings) { settings.is_admission_control_enabled = false; }),
      MakeAblation("no-hold",
                   [](SchedulerSettings& settings) {
                     settings.reserved_target_share = {0, 0, 0};
                   }),
      MakeAblation("one-choice",
                   [](SchedulerSettings& settings) { settings.placement_candidate_count = 1; }),
      MakeAblation("eight-choices",
                   [](SchedulerSettings& settings) { settings.placement_candidate_count = 8; }),
      MakeAblation("least-loaded-of-2",
                   [](SchedulerSettings& settings) {
                     settings.placement_policy = PlacementPolicy::kLeastLoaded;
                     settings.placement_candidate_count = 2;
                   }),
      MakeAblation("tightest-fit",
                   [](SchedulerSettings& settings) {
                     settings.placement_policy = PlacementPolicy::kBestFit;
                   }),
  };
}

}  // namespace sapphirecrank::bench
