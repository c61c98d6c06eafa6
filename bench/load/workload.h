#pragma once

#include <vector>

#include "bench/load/arrival.h"
#include "bench/load/load_settings.h"

namespace sapphirecrank::load {

/// Returns all arrivals of a run in the order of time: a Poisson process whose rate alternates
/// between two values. Half are urgent requests, the rest ordinary jobs of 1 to 20 tasks and a few
/// bulk jobs of 50 to 200 tasks. 1 task in 1000 runs 30 times as long as declared. Equal settings
/// give equal arrivals.
std::vector<Arrival> MakeArrivals(const LoadSettings& settings);

}  // namespace sapphirecrank::load
