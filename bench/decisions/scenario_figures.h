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
  /// Slowdown of the tasks that ran, which is the ratio of their response time to their ideal run
  /// time, by class: of all of them, and of the short ones.
  std::array<Percentiles, base::kPriorityClassCount> slowdown;
  std::array<Percentiles, base::kPriorityClassCount> short_slowdown;
  /// Shares of the tasks of a class that met their deadline, and that were refused or cancelled.
  std::array<double, base::kPriorityClassCount> in_time_share{};
  std::array<double, base::kPriorityClassCount> not_run_share{};
  /// Time that short urgent and ordinary tasks waited for their start, in milliseconds.
  Percentiles short_wait_ms;
  /// Slowdown of short tasks that arrived during the surge, by class.
  std::array<Percentiles, base::kPriorityClassCount> surge_short_slowdown;
  /// Share of the capacity of the scarcest resource that was used during the surge for tasks that
  /// met their deadline and whose jobs had no refused or failed task.
  double surge_useful_share = 0;
  /// Share of the capacity of the scarcest resource that was in use during the surge.
  double surge_utilisation = 0;
  /// Seconds after the surge until short urgent and ordinary work is served as well as before.
  double recovery_seconds = 0;
  int64_t refused_on_arrival = 0;
  /// Refused after waiting in the queue.
  int64_t expired_in_queue = 0;
  /// Tasks with `MeasuredTask::has_contradictory_refusal`.
  int64_t contradictory_refusals = 0;
  int64_t unsatisfiable_tasks = 0;
  double refusal_p99_ms = 0;
  /// Ratio of wasted to useful messages. Messages are wasted if their task missed its deadline,
  /// failed or belonged to a job with a refused or failed task.
  double wasted_message_ratio = 0;
  /// Tasks with `MeasuredTask::waited_behind_excess_share`.
  int64_t tasks_behind_excess_share = 0;
  /// Tasks that were started more than once.
  int64_t duplicate_starts = 0;
  /// Tasks that were still unfinished at the end of the simulation.
  int64_t lost_tasks = 0;
  /// Starts that exceeded the slots or resources of their target.
  int64_t overcommitted_starts = 0;
  /// Share of the starts that went to failing targets once the scheduler should have detected them.
  double failing_target_start_share = 0;
};

}  // namespace sapphirecrank::bench
