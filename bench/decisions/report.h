#pragma once

#include <string>
#include <vector>

#include "bench/decisions/scenario_figures.h"

namespace sapphirecrank::bench {

/// Prints one table row for each simulation.
void PrintFigures(const std::vector<ScenarioFigures>& figures);

/// Prints `TARGET name figure bound ok|short` for each bound of section 1.2 of docs/design.md that
/// the simulations of the default rule set measure. Scenarios that were not run are left out.
void PrintBoundChecks(const std::vector<ScenarioFigures>& figures);

/// Prints a `TARGET` line for a figure that must be at most `bound`.
void PrintUpperBoundCheck(const std::string& name, double figure, double bound);

/// Prints a `TARGET` line for a figure that must be at least `bound`.
void PrintLowerBoundCheck(const std::string& name, double figure, double bound);

}  // namespace sapphirecrank::bench
