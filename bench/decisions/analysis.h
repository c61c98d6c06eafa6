#pragma once

#include "bench/decisions/scenario.h"
#include "bench/decisions/scenario_figures.h"
#include "bench/decisions/simulation.h"
#include "bench/decisions/workload.h"

namespace sapphirecrank::bench {

/// Computes the figures of a simulation. Precondition: it has run to its end, with this scenario,
/// workload and start time.
ScenarioFigures ComputeFigures(const Scenario& scenario, const Workload& workload,
                               base::TimePoint start, const Simulation& simulation);

}  // namespace sapphirecrank::bench
