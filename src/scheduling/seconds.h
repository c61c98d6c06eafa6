#pragma once

#include "base/time.h"

namespace sapphirecrank::scheduling {

/// Returns a duration in seconds, for sums and rates of work.
inline double ToSeconds(base::Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace sapphirecrank::scheduling
