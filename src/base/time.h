#pragma once

#include <chrono>
#include <functional>

namespace sapphirecrank::base {

using Duration = std::chrono::nanoseconds;
/// Monotonic time of this machine; it has no meaning on another one.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;
/// Returns the current time. Must be safe to call from any thread.
using Clock = std::function<TimePoint()>;

/// Returns the clock of the machine. It counts the time in which the machine was suspended: leases
/// and time limits that others measure go on meanwhile.
Clock SteadyClock();

}  // namespace sapphirecrank::base
