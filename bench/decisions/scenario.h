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

/// Targets and demand of one simulation. Demand is in parts of the capacity of all targets.
struct Scenario {
  /// A change of the demand.
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
  /// Tasks that arrive before are not measured, as run times are not learned yet.
  base::Duration warm_up = std::chrono::seconds(10);
  /// Time of the demand peak; equal if there is none.
  base::Duration surge_start{0};
  base::Duration surge_end{0};
  /// Targets that fail everything they start from `warm_up` on.
  int failing_target_count = 0;
  /// Targets on which all work takes four times as long.
  int slow_target_count = 0;
  /// Declarations are off by any factor up to ten with equal probability of its logarithm, in place
  /// of a normal distribution whose third standard deviation is ten.
  bool log_uniform_declaration_errors = false;
  /// Teams of about equal demand but for the first, which brings half of the work.
  int team_count = 12;
};

/// Returns the scenarios of a whole run. `load` is the demand of the ordinary scenarios (0 keeps
/// 0.8 and 0.95), `mix` the shares of the classes: "standard", "urgent" or "bulk".
std::vector<Scenario> AllScenarios(double load, const std::string& mix);

}  // namespace sapphirecrank::bench
