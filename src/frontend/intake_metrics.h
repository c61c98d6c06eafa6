#pragma once

#include <string>

#include "limits/intake_usage.h"

namespace sapphirecrank::frontend {

/// Returns the series of an intake budget in Prometheus' text format. Thread safety: pure.
std::string IntakeMetricsText(const limits::IntakeUsage& usage);

}  // namespace sapphirecrank::frontend
