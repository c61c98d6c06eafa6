#include "bench/decisions/scenario.h"

#include <cmath>

namespace sapphirecrank::bench {

using base::Duration;
using std::chrono::seconds;

namespace {
constexpr double kModerateLoad = 0.8;
constexpr double kHighLoad = 0.95;
constexpr double kSurgeLoad = 5;
/// Demand of urgent work during a surge. It fits on the targets without the other classes.
constexpr double kSurgeUrgentLoad = 0.5;
constexpr seconds kSteadyDuration{100};
constexpr seconds kSurgeStart{20};
constexpr seconds kSurgeEnd{30};
constexpr int64_t kGibibyte = int64_t{1} << 30;

using ClassShares = std::array<double, base::kPriorityClassCount>;

ClassShares ClassSharesOf(const std::string& mix) {
  if (mix == "urgent") {
    return {0.5, 0.3, 0.2};
  }
  if (mix == "bulk") {
    return {0.1, 0.3, 0.6};
  }
  return {0.25, 0.45, 0.3};
}

ClassShares ScaleShares(const ClassShares& shares, double load) {
  return {shares[0] * load, shares[1] * load, shares[2] * load};
}

Scenario MakeRunnerScenario() {
  Scenario scenario;
  scenario.name = "runners";
  return scenario;
}

Scenario MakeWorkerScenario(int cores, int64_t gibibytes) {
  Scenario scenario;
  scenario.name = "workers" + std::to_string(cores);
  scenario.target_kind = base::TargetKind::kWorker;
  scenario.slots_per_target = base::SlotCount(cores);
  scenario.target_capacity.processors = base::MilliCores(int64_t{1000} * cores);
  scenario.target_capacity.memory = base::ByteCount(gibibytes * kGibibyte);
  scenario.maximum_job_tasks = 200;
  return scenario;
}

Scenario MakeSteadyScenario(Scenario scenario, const ClassShares& shares, double load) {
  scenario.name += "-" + std::to_string(std::lround(100 * load));
  scenario.phases = {{Duration(0), ScaleShares(shares, load)}};
  scenario.duration = kSteadyDuration;
  return scenario;
}

Scenario MakeSurgeScenario(Scenario scenario, const ClassShares& shares) {
  scenario.name += "-surge";
  const double other_class_factor = (kSurgeLoad - kSurgeUrgentLoad) / (shares[1] + shares[2]);
  scenario.phases = {
      {Duration(0), ScaleShares(shares, kModerateLoad)},
      {kSurgeStart,
       {kSurgeUrgentLoad, other_class_factor * shares[1], other_class_factor * shares[2]}},
      {kSurgeEnd, ScaleShares(shares, kModerateLoad)}};
  scenario.surge_start = kSurgeStart;
  scenario.surge_end = kSurgeEnd;
  return scenario;
}

Scenario MakeSwingScenario(Scenario scenario, const ClassShares& shares) {
  scenario.name += "-swing";
  constexpr int kPeriodCount = 8;
  constexpr seconds kHalfPeriod(2);
  for (int i = 0; i < kPeriodCount; ++i) {
    const Duration start = seconds(8) + 2 * i * kHalfPeriod;
    scenario.phases.push_back({i == 0 ? Duration(0) : start, ScaleShares(shares, 0.3)});
    scenario.phases.push_back({start + kHalfPeriod, ScaleShares(shares, 1.5)});
  }
  return scenario;
}

Scenario MakeFailingTargetScenario(Scenario scenario, const ClassShares& shares) {
  scenario = MakeSteadyScenario(scenario, shares, kModerateLoad);
  scenario.name += "-faulty";
  scenario.failing_target_count = 1;
  return scenario;
}

Scenario MakeSlowTargetScenario(Scenario scenario, const ClassShares& shares) {
  scenario = MakeSteadyScenario(scenario, shares, kModerateLoad);
  scenario.name += "-slow";
  scenario.slow_target_count = 3;
  return scenario;
}

Scenario MakeWideErrorScenario(Scenario scenario) {
  scenario.name += "-wide";
  scenario.log_uniform_declaration_errors = true;
  return scenario;
}

}  // namespace

std::vector<Scenario> AllScenarios(double load, const std::string& mix) {
  const ClassShares shares = ClassSharesOf(mix);
  std::vector<Scenario> scenarios;
  for (const Scenario& scenario :
       {MakeRunnerScenario(), MakeWorkerScenario(16, 32), MakeWorkerScenario(64, 256)}) {
    if (load > 0) {
      scenarios.push_back(MakeSteadyScenario(scenario, shares, load));
    } else {
      scenarios.push_back(MakeSteadyScenario(scenario, shares, kModerateLoad));
      scenarios.push_back(MakeSteadyScenario(scenario, shares, kHighLoad));
    }
    scenarios.push_back(MakeSurgeScenario(scenario, shares));
  }
  scenarios.push_back(MakeSwingScenario(MakeRunnerScenario(), shares));
  scenarios.push_back(MakeSwingScenario(MakeWorkerScenario(16, 32), shares));
  scenarios.push_back(MakeFailingTargetScenario(MakeRunnerScenario(), shares));
  scenarios.push_back(MakeFailingTargetScenario(MakeWorkerScenario(16, 32), shares));
  scenarios.push_back(
      MakeWideErrorScenario(MakeSteadyScenario(MakeWorkerScenario(16, 32), shares, kModerateLoad)));
  scenarios.push_back(MakeWideErrorScenario(MakeSurgeScenario(MakeWorkerScenario(16, 32), shares)));
  scenarios.push_back(MakeSlowTargetScenario(MakeRunnerScenario(), shares));
  return scenarios;
}

}  // namespace sapphirecrank::bench
