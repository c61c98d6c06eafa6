#include "base/time.h"

namespace sapphirecrank::base {

Clock SteadyClock() {
  return [] { return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now()); };
}

}  // namespace sapphirecrank::base
