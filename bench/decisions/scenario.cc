#include "bench/decisions/scenario.h"

#include <cmath>

namespace sapphirecrank::bench {

using base::Duration;
using std::chrono::seconds;

namespace {
constexpr double kModerateLoad = 0.8;
constexpr double kHighLoad = 0.95;
constexpr double kSurgeLoad = 5;
/// Demand of urgent work at the peak, which alone fits.
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

Scenario MakeSteadyScenario(Scenario base, const ClassShares& shares, double load) {
  base.name += "-" + std::to_string(std::lround(100 * load));
  base.phases = {{Duration(0), ScaleShares(shares, load)}};
  base.duration = kSteadyDuration;
  return base;
}

Scenario MakeSurgeScenario(Scenario base, const ClassShares& shares) {
  base.name += "-surge";
  const double rest = (kSurgeLoad - kSurgeUrgentLoad) / (shares[1] + shares[2]);
  base.phases = {{Duration(0), ScaleShares(shares, kModerateLoad)},
                 {kSurgeStart, {kSurgeUrgentLoad, rest * shares[1], rest * shares[2]}},
                 {kSurgeEnd, ScaleShares(shares, kModerateLoad)}};
  base.surge_start = kSurgeStart;
  base.surge_end = kSurgeEnd;
  return base;
}

Scenario MakeSwingScenario(Scenario base, const ClassShares& shares) {
  base.name += "-swing";
  constexpr int kPeriods = 8;
  constexpr seconds kHalfPeriod(2);
  for (int i = 0; i < kPeriods; ++i) {
    const Duration start = seconds(8) + 2 * i * kHalfPeriod;
    base.phases.push_back({i == 0 ? Duration(0) : start, ScaleShares(shares, 0.3)});
    base.phases.push_back({start + kHalfPeriod, ScaleShares(shares, 1.5)});
  }
  return base;
}

Scenario MakeFailingTargetScenario(Scenario base, const ClassShares& shares) {
  base = MakeSteadyScenario(base, shares, kModerateLoad);
  base.name += "-faulty";
  base.failing_target_count = 1;
  return base;
}

Scenario MakeSlowTargetScenario(Scenario base, const ClassShares& shares) {
  base = MakeSteadyScenario(base, shares, kModerateLoad);
  base.name += "-slow";
  base.slow_target_count = 3;
  return base;
}

Scenario MakeWideErrorScenario(Scenario base) {
  base.name += "-wide";
  base.log_uniform_declaration_errors = true;
  return base;
}

}  // namespace

std::vector<Scenario> AllScenarios(double load, const std::string& mix) {
  const ClassShares shares = ClassSharesOf(mix);
  std::vector<Scenario> scenarios;
  for (const Scenario& base :
       {MakeRunnerScenario(), MakeWorkerScenario(16, 32), MakeWorkerScenario(64, 256)}) {
    if (load > 0) {
      scenarios.push_back(MakeSteadyScenario(base, shares, load));
    } else {
      scenarios.push_back(MakeSteadyScenario(base, shares, kModerateLoad));
      scenarios.push_back(MakeSteadyScenario(base, shares, kHighLoad));
    }
    scenarios.push_back(MakeSurgeScenario(base, shares));
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
