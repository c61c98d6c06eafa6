#pragma once

#include <string>
#include <vector>

#include "bench/decisions/scenario_figures.h"

namespace sapphirecrank::bench {

/// Prints one table row for each simulation.
void PrintFigures(const std::vector<ScenarioFigures>& figures);

/// Prints `TARGET name figure upper_bound ok|short` for each bound of section 1.2 of docs/design.md
/// that the simulations measure. Scenarios that were not run are left out.
void PrintBoundChecks(const std::vector<ScenarioFigures>& figures);

/// Prints a line for a figure that must be at most `upper_bound`.
void PrintUpperBoundCheck(const std::string& name, double figure, double bound);

/// Prints a line for a figure that must be at least `upper_bound`.
void PrintLowerBoundCheck(const std::string& name, double figure, double bound);

}  // namespace sapphirecrank::bench
