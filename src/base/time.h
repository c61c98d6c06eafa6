#pragma once

#include <chrono>
#include <functional>

namespace sapphirecrank::base {

using Duration = std::chrono::nanoseconds;
/// Monotonic time of this process; it has no meaning in another process.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;
/// Returns the current time. Must be safe to call from any thread.
using Clock = std::function<TimePoint()>;

/// Returns the clock of the machine.
Clock SteadyClock();

}  // namespace sapphirecrank::base
