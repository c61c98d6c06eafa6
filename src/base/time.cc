#include "base/time.h"

#include <time.h>

namespace sapphirecrank::base {

Clock SteadyClock() {
  return [] {
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return TimePoint(std::chrono::seconds(time.tv_sec) + Duration(time.tv_nsec));
  };
}

}  // namespace sapphirecrank::base
