#pragma once

#include <array>
#include <cstdint>
#include <string>

#include "base/priority_class.h"
#include "bench/decisions/percentiles.h"

namespace sapphirecrank::bench {

/// Figures of one simulation.
struct ScenarioFigures {
  std::string scenario;
  std::string rule_set;
  /// Slowdown of tasks that ran, by class; of all tasks and of short ones.
  std::array<Percentiles, base::kPriorityClassCount> slowdown;
  std::array<Percentiles, base::kPriorityClassCount> short_slowdown;
  /// Share of the tasks of a class that ended in time, and that were refused or cancelled.
  std::array<double, base::kPriorityClassCount> in_time_share{};
  std::array<double, base::kPriorityClassCount> not_run_share{};
  /// Wait of short urgent and ordinary tasks in milliseconds.
  Percentiles short_wait_ms;
  /// The same during the surge, by class.
  std::array<Percentiles, base::kPriorityClassCount> surge_short_slowdown;
  /// Share of the capacity that did work during the surge which ended in time in a whole job.
  double surge_useful_share = 0;
  /// Share of the capacity in use during the surge.
  double surge_utilisation = 0;
  /// Seconds after the surge until short urgent and ordinary work is served as before.
  double recovery_seconds = 0;
  int64_t refused_on_arrival = 0;
  /// Refused after waiting in the queue.
  int64_t expired_in_queue = 0;
  int64_t contradictory_refusals = 0;
  int64_t unsatisfiable_tasks = 0;
  double refusal_p99_ms = 0;
  /// Messages for work that ended late, failed or was part of a failed job, for each useful one.
  double wasted_message_ratio = 0;
  int64_t tasks_behind_excess_share = 0;
  int64_t duplicate_starts = 0;
  int64_t lost_tasks = 0;
  int64_t overcommitted_starts = 0;
  double failing_target_start_share = 0;
};

}  // namespace sapphirecrank::bench
