#pragma once

#include <array>
#include <string>
#include <vector>

#include "base/priority_class.h"
#include "base/resources.h"
#include "base/target_kind.h"
#include "base/time.h"
#include "base/units.h"

namespace sapphirecrank::bench {

/// Targets and demand of one simulation. Demand is a share of the capacity of all targets.
struct Scenario {
  /// A period of constant demand, which ends at the start of the next phase.
  struct Phase {
    base::Duration start{0};
    /// Demand of each class, urgent first.
    std::array<double, base::kPriorityClassCount> class_loads{};
  };

  std::string name;
  base::TargetKind target_kind = base::TargetKind::kRunner;
  int target_count = 50;
  base::SlotCount slots_per_target{8};
  base::Resources target_capacity;
  int maximum_job_tasks = 1;
  std::vector<Phase> phases;
  base::Duration duration = std::chrono::seconds(40);
  /// Tasks that arrive earlier are not measured, because the scheduler has not learned run times.
  base::Duration warm_up = std::chrono::seconds(10);
  /// Period of peak demand; both times are equal if there is none.
  base::Duration surge_start{0};
  base::Duration surge_end{0};
  /// Targets that fail every task that they start after `warm_up`.
  int failing_target_count = 0;
  /// Targets on which all tasks take four times as long.
  int slow_target_count = 0;
  /// Distribution of the logarithm of the ratio of declared to actual values, which is at most ten
  /// or at least a tenth: uniform if set, otherwise normal with a ratio of ten at three standard
  /// deviations.
  bool log_uniform_declaration_errors = false;
  /// Number of teams. Half of the task kinds belong to the first team; each other kind belongs to
  /// any of the teams with equal probability.
  int team_count = 12;
};

/// Returns the scenarios of a full run. `load` is the demand of the steady scenarios; 0 stands for
/// one scenario each with 0.8 and 0.95. `mix` selects the shares of the classes: "standard",
/// "urgent" or "bulk".
std::vector<Scenario> AllScenarios(double load, const std::string& mix);

}  // namespace sapphirecrank::bench
