#include <fmt/core.h>

#include <algorithm>
#include <atomic>
#include <cmath>
#include <cstdlib>
#include <string>
#include <thread>
#include <vector>

#include "bench/decisions/analysis.h"
#include "bench/decisions/decision_cost.h"
#include "bench/decisions/gateway_load.h"
#include "bench/decisions/report.h"
#include "bench/decisions/scenario.h"
#include "bench/decisions/scheduler_under_test.h"
#include "bench/decisions/simulation.h"
#include "bench/decisions/workload.h"

namespace sapphirecrank::bench {
namespace {

constexpr uint64_t kDefaultSeed = 20261204;
constexpr unsigned kThreadCount = 4;
constexpr double kMaximumCostMicroseconds = 2;
constexpr const char* kCostScenario = "cost";
constexpr const char* kGatewaysScenario = "gateways";

struct Options {
  uint64_t seed = kDefaultSeed;
  double load = 0;
  std::string mix = "standard";
  /// Runs the scenarios whose names contain this text; empty runs all.
  std::string scenario;
  /// Name of the only rule set to run; empty runs all.
  std::string rule_set;
  /// Also runs the rule sets that change one rule.
  bool runs_ablations = true;
};

bool ParseOptions(int argc, char** argv, Options& options) {
  for (int i = 1; i < argc; ++i) {
    const std::string name = argv[i];
    if (name == "--main-rules") {
      options.runs_ablations = false;
      continue;
    }
    if (i + 1 == argc) {
      return false;
    }
    const std::string value = argv[++i];
    if (name == "--seed") {
      options.seed = std::strtoull(value.c_str(), nullptr, 10);
    } else if (name == "--load") {
      options.load = std::strtod(value.c_str(), nullptr);
    } else if (name == "--mix") {
      options.mix = value;
    } else if (name == "--scenario") {
      options.scenario = value;
    } else if (name == "--rules") {
      options.rule_set = value;
    } else {
      return false;
    }
  }
  return options.mix == "standard" || options.mix == "urgent" || options.mix == "bulk";
}

std::vector<ScenarioFigures> RunScenario(const Scenario& scenario, uint64_t seed,
                                         const std::vector<RuleSet>& rule_sets) {
  const base::TimePoint start = base::ManualClock().Now();
  const Workload workload(scenario, start, seed);
  std::vector<ScenarioFigures> figures;
  for (const RuleSet& rule_set : rule_sets) {
    Simulation simulation(scenario, workload, start, rule_set);
    simulation.Run();
    figures.push_back(ComputeFigures(scenario, workload, start, simulation));
    figures.back().scenario = scenario.name;
    figures.back().rule_set = rule_set.name;
  }
  return figures;
}

std::vector<ScenarioFigures> RunScenarios(const std::vector<Scenario>& scenarios, uint64_t seed,
                                          const std::vector<RuleSet>& rule_sets) {
  std::vector<std::vector<ScenarioFigures>> results(scenarios.size());
  std::atomic<size_t> next{0};
  std::vector<std::thread> threads;
  for (unsigned i = 0; i < kThreadCount; ++i) {
    threads.emplace_back([&] {
      for (size_t index = next++; index < scenarios.size(); index = next++) {
        results[index] = RunScenario(scenarios[index], seed, rule_sets);
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  std::vector<ScenarioFigures> all;
  for (const std::vector<ScenarioFigures>& figures : results) {
    all.insert(all.end(), figures.begin(), figures.end());
  }
  return all;
}

/// Returns the factor by which a cost with logarithmic growth grows between two sizes.
double LogarithmicGrowth(double from_size, double to_size) {
  return std::log(to_size) / std::log(from_size);
}

void MeasureDecisionCosts() {
  const std::vector<size_t> target_counts = {50, 500, 5000};
  const std::vector<size_t> team_counts = {1, 55, 550};
  std::vector<std::vector<double>> costs;
  for (size_t target_count : target_counts) {
    costs.emplace_back();
    for (size_t team_count : team_counts) {
      costs.back().push_back(MeasureDecisionCost(target_count, team_count));
      fmt::print("cost {:5} targets {:4} teams: {:.2f} us per task start\n", target_count,
                 team_count, costs.back().back());
    }
  }
  for (size_t i = 0; i < team_counts.size(); ++i) {
    PrintUpperBoundCheck(fmt::format("cost.50_targets.{}_teams_us", team_counts[i]), costs[0][i],
                         kMaximumCostMicroseconds);
    PrintUpperBoundCheck(fmt::format("cost.growth_50_to_5000_targets.{}_teams", team_counts[i]),
                         costs[2][i] / costs[0][i], LogarithmicGrowth(50, 5000));
  }
  for (size_t i = 0; i < target_counts.size(); ++i) {
    PrintUpperBoundCheck(fmt::format("cost.growth_55_to_550_teams.{}_targets", target_counts[i]),
                         costs[i][2] / costs[i][1], LogarithmicGrowth(55, 550));
  }
}

int Main(int argc, char** argv) {
  Options options;
  if (!ParseOptions(argc, argv, options)) {
    fmt::print(stderr,
               "usage: bench_decisions [--seed N] [--load X] [--mix standard|urgent|bulk] "
               "[--scenario NAME|cost|gateways] [--rules NAME] [--main-rules]\n");
    return 2;
  }
  std::vector<RuleSet> rule_sets = BaselineAndDefaultRuleSets();
  if (options.runs_ablations) {
    for (RuleSet& ablation : AblationRuleSets()) {
      rule_sets.push_back(std::move(ablation));
    }
  }
  if (!options.rule_set.empty()) {
    rule_sets.erase(
        std::remove_if(rule_sets.begin(), rule_sets.end(),
                       [&](const RuleSet& rule_set) { return rule_set.name != options.rule_set; }),
        rule_sets.end());
  }
  std::vector<Scenario> scenarios;
  for (Scenario& scenario : AllScenarios(options.load, options.mix)) {
    if (scenario.name.find(options.scenario) != std::string::npos) {
      scenarios.push_back(std::move(scenario));
    }
  }
  fmt::print("seed {} mix {}\n", options.seed, options.mix);
  if (!scenarios.empty()) {
    const std::vector<ScenarioFigures> figures = RunScenarios(scenarios, options.seed, rule_sets);
    PrintFigures(figures);
    PrintBoundChecks(figures);
  }
  if (options.scenario.empty() || options.scenario == kCostScenario) {
    MeasureDecisionCosts();
  }
  if (options.scenario.empty() || options.scenario == kGatewaysScenario) {
    CompareGatewayLoads(options.seed);
  }
  return 0;
}

}  // namespace
}  // namespace sapphirecrank::bench

int main(int argc, char** argv) { return sapphirecrank::bench::Main(argc, argv); }
