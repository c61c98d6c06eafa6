#pragma once

#include "base/time.h"

namespace sapphirecrank::scheduling {

/// Converts a duration to seconds, the unit of sums and rates of expected run time.
inline double ToSeconds(base::Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace sapphirecrank::scheduling
