#include "bench/decisions/report.h"

#include <fmt/core.h>

#include <algorithm>

namespace sapphirecrank::bench {

namespace {
constexpr const char* kDefaultRuleSet = "rules";
constexpr size_t kUrgentIndex = 0;
constexpr size_t kOrdinaryIndex = 1;

bool IsRunner(const ScenarioFigures& figures) { return figures.scenario.rfind("runners", 0) == 0; }

bool EndsWith(const std::string& text, const std::string& suffix) {
  return text.size() >= suffix.size() &&
         text.compare(text.size() - suffix.size(), suffix.size(), suffix) == 0;
}

std::string FormatPercentiles(const Percentiles& percentiles) {
  return fmt::format("{:.2f}/{:.2f}/{:.1f}", percentiles.p50, percentiles.p99, percentiles.p999);
}

double LowestBaselineUrgentP99(const std::vector<ScenarioFigures>& all_figures,
                               const std::string& scenario) {
  double lowest = 0;
  for (const ScenarioFigures& figures : all_figures) {
    if (figures.scenario == scenario && figures.rule_set.rfind("fifo", 0) == 0) {
      const double p99 = figures.surge_short_slowdown[kUrgentIndex].p99;
      lowest = lowest == 0 ? p99 : std::min(lowest, p99);
    }
  }
  return lowest;
}

void PrintBoundCheck(const std::string& name, double figure, double bound, bool is_met) {
  fmt::print("TARGET {} {:.4g} {:.4g} {}\n", name, figure, bound, is_met ? "ok" : "short");
}

void PrintSteadyChecks(const ScenarioFigures& figures) {
  const std::string& name = figures.scenario;
  const bool is_runner = IsRunner(figures);
  if (EndsWith(name, "-80")) {
    PrintUpperBoundCheck(name + ".urgent_short_p99_slowdown",
                         figures.short_slowdown[kUrgentIndex].p99, is_runner ? 1.2 : 1.5);
    PrintUpperBoundCheck(name + ".ordinary_short_p99_slowdown",
                         figures.short_slowdown[kOrdinaryIndex].p99, 2);
  }
  if (EndsWith(name, "-95")) {
    PrintUpperBoundCheck(name + ".urgent_short_p99_slowdown",
                         figures.short_slowdown[kUrgentIndex].p99, is_runner ? 1.5 : 2);
    PrintUpperBoundCheck(name + ".short_wait_p99_ms", figures.short_wait_ms.p99, 50);
  }
  if (EndsWith(name, "-80") || EndsWith(name, "-95")) {
    PrintUpperBoundCheck(name + ".wasted_messages", figures.wasted_message_ratio, 0.02);
  }
}

void PrintSurgeChecks(const std::vector<ScenarioFigures>& all_figures,
                      const ScenarioFigures& figures) {
  const std::string& name = figures.scenario;
  const double urgent = figures.surge_short_slowdown[kUrgentIndex].p99;
  PrintLowerBoundCheck(name + ".useful_share", figures.surge_useful_share, 0.95);
  PrintUpperBoundCheck(name + ".urgent_short_p99_slowdown", urgent, IsRunner(figures) ? 1.5 : 2);
  PrintUpperBoundCheck(name + ".urgent_p99_to_better_baseline",
                       urgent / LowestBaselineUrgentP99(all_figures, name), 0.1);
  PrintUpperBoundCheck(name + ".recovery_seconds", figures.recovery_seconds, 2);
}
}  // namespace

void PrintUpperBoundCheck(const std::string& name, double figure, double bound) {
  PrintBoundCheck(name, figure, bound, figure <= bound);
}

void PrintLowerBoundCheck(const std::string& name, double figure, double bound) {
  PrintBoundCheck(name, figure, bound, figure >= bound);
}

void PrintFigures(const std::vector<ScenarioFigures>& figures) {
  fmt::print(
      "Slowdowns are p50/p99/p99.9 of a class (u urgent, o ordinary, b bulk); s marks short "
      "tasks.\n");
  for (const ScenarioFigures& f : figures) {
    fmt::print("{:<17}{:<18}us {:<16} os {:<17} bs {:<18} o {:<17} b {:<18}", f.scenario,
               f.rule_set, FormatPercentiles(f.short_slowdown[0]),
               FormatPercentiles(f.short_slowdown[1]), FormatPercentiles(f.short_slowdown[2]),
               FormatPercentiles(f.slowdown[1]), FormatPercentiles(f.slowdown[2]));
    fmt::print(" wait99 {:.0f}ms notrun {:.3f}/{:.3f}/{:.3f}", f.short_wait_ms.p99,
               f.not_run_share[0], f.not_run_share[1], f.not_run_share[2]);
    fmt::print(" late {:.4f}/{:.4f}/{:.4f}", 1 - f.in_time_share[0] - f.not_run_share[0],
               1 - f.in_time_share[1] - f.not_run_share[1],
               1 - f.in_time_share[2] - f.not_run_share[2]);
    fmt::print(" refused {} expired {} contradictory {} unsatisfiable {} wasted {:.4f} excess {}",
               f.refused_on_arrival, f.expired_in_queue, f.contradictory_refusals,
               f.unsatisfiable_tasks, f.wasted_message_ratio, f.tasks_behind_excess_share);
    if (f.surge_utilisation > 0) {
      fmt::print(" surge[busy {:.3f} useful {:.3f} us {} os {} recovery {:.2f}s]",
                 f.surge_utilisation, f.surge_useful_share,
                 FormatPercentiles(f.surge_short_slowdown[0]),
                 FormatPercentiles(f.surge_short_slowdown[1]), f.recovery_seconds);
    }
    if (f.failing_target_start_share > 0) {
      fmt::print(" failing {:.5f}", f.failing_target_start_share);
    }
    fmt::print("\n");
  }
}

void PrintBoundChecks(const std::vector<ScenarioFigures>& all_figures) {
  double refusal_ms = 0;
  int64_t tasks_behind_excess = 0;
  int64_t error_count = 0;
  for (const ScenarioFigures& figures : all_figures) {
    if (figures.rule_set != kDefaultRuleSet) {
      continue;
    }
    PrintSteadyChecks(figures);
    if (figures.surge_utilisation > 0) {
      PrintSurgeChecks(all_figures, figures);
    }
    if (EndsWith(figures.scenario, "-faulty")) {
      PrintUpperBoundCheck(figures.scenario + ".failing_worker_share",
                           figures.failing_target_start_share, 0.01);
      PrintUpperBoundCheck(figures.scenario + ".wasted_messages", figures.wasted_message_ratio,
                           0.1);
    }
    refusal_ms = std::max(refusal_ms, figures.refusal_p99_ms);
    tasks_behind_excess += figures.tasks_behind_excess_share;
    error_count += figures.duplicate_starts + figures.lost_tasks + figures.contradictory_refusals +
                   figures.overcommitted_starts;
  }
  PrintUpperBoundCheck("refusal_p99_ms", refusal_ms, 5);
  PrintUpperBoundCheck("short_behind_excess_of_lower_class",
                       static_cast<double>(tasks_behind_excess), 0);
  PrintUpperBoundCheck("second_starts_lost_untrue_overcommitted", static_cast<double>(error_count),
                       0);
}

}  // namespace sapphirecrank::bench
