#pragma once

#include "base/strong_number.h"

namespace sapphirecrank::limits {

/// Number of requests, task starts or messages, depending on what is limited.
using EventCount = base::StrongNumber<struct EventCountTag>;
using EventsPerSecond = base::StrongNumber<struct EventsPerSecondTag>;
using Percent = base::StrongNumber<struct PercentTag>;

}  // namespace sapphirecrank::limits
